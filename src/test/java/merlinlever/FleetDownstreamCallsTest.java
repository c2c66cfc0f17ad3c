package merlinlever;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/**
 * A model of a whole fleet of modules round one dependency that they share, whose calls take longer the more of them it
 * holds, and which holds a call for a while that was given up. The fleet's calls in hand, averaged over any span of
 * calls-over, stay within the sum N of the shares and what is left to chance, 2 x sqrt(N) + 2, however many processes make
 * up the fleet, and also where all start cold at one instant and are sent the same.
 */
class FleetDownstreamCallsTest {

    private static final int STEP = 10;
    private static final int OVER = 5000;
    private static final int LINGER = 200;
    private static final int LENGTH = 11_000;

    /** One run of a process of the fleet: 10 ms to its call, the call, and 10 ms after it. */
    private static final class SimulatedRun {
        final SimulatedProcess process;
        final RequestHandle operation;
        /** When it comes to its call or, with the call behind it, ends. */
        int at;

        boolean called;
        /** Of its call: what is left of it, until when it is waited for, and how long it stays after that. */
        double left;

        int madeAt;
        int givenUpAt;
        int lingers;
        boolean out;

        SimulatedRun(SimulatedProcess process, RequestHandle operation, int at) {
            this.process = process;
            this.operation = operation;
            this.at = at;
        }
    }

    private static final class SimulatedProcess {
        ControllerFixture server;
        int startsAt;
        SplittableRandom chance;
        final List<SimulatedRun> runs = new ArrayList<>();
    }

    private final List<SimulatedRun> inHand = new ArrayList<>();
    private int served;

    /** The highest mean of the fleet's calls in hand over any span, for a fleet that is told that it counts so many. */
    private double highest(int processes, int told, double share, double callMs, double slots, boolean aligned) {
        SplittableRandom chance = new SplittableRandom(36);
        inHand.clear();
        served = 0;
        List<SimulatedProcess> fleet = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            SimulatedProcess process = new SimulatedProcess();
            process.server = new ControllerFixture()
                    .with("server.below", "shared")
                    .with("server.share-of-calls", share)
                    .with("server.calls-over", OVER)
                    .with("server.linger", LINGER)
                    .with("server.cold", true)
                    .with("rules.cold-share", 0.25)
                    .with("rules.cold", 10_000);
            if (told > 0) {
                process.server.with("servers", told);
            }
            process.server.seed = chance.nextLong();
            process.startsAt = aligned ? 0 : chance.nextInt(OVER / STEP) * STEP;
            process.chance = new SplittableRandom(aligned ? 7 : chance.nextLong());
            fleet.add(process);
        }
        Deque<Integer> span = new ArrayDeque<>();
        double sum = 0;
        double highest = 0;
        for (int now = 0; now < LENGTH; now += STEP) {
            below(now, slots);
            for (SimulatedProcess process : fleet) {
                if (now >= process.startsAt) {
                    step(process, now, callMs);
                }
            }
            span.add(inHand.size());
            sum += inHand.size();
            if (span.size() > OVER / STEP) {
                sum -= span.poll();
            }
            highest = Math.max(highest, sum / (OVER / STEP));
        }
        return highest;
    }

    /** What lies below works on all calls that it holds at once; one that was given up it drops after a while. */
    private void below(int now, double slots) {
        double done = STEP * Math.min(1, slots / Math.max(1, inHand.size()));
        for (SimulatedRun run : List.copyOf(inHand)) {
            run.left -= done;
            boolean over = run.left <= 0;
            if (run.out && (over || now >= run.givenUpAt)) {
                run.out = false;
                served += over ? 1 : 0;
                run.process.server.now = ControllerFixture.millis(now - run.process.startsAt);
                run.operation.callEnded(
                        run.process.server.now,
                        over ? Outcome.OK : Outcome.GIVEN_UP,
                        Duration.ofMillis(now - run.madeAt));
                run.at = over ? now + STEP : Integer.MAX_VALUE;
                run.lingers = now + LINGER;
            }
            if (over || (!run.out && now >= run.lingers)) {
                inHand.remove(run);
            }
        }
    }

    private void step(SimulatedProcess process, int now, double callMs) {
        ControllerFixture server = process.server;
        server.now = ControllerFixture.millis(now - process.startsAt);
        for (SimulatedRun run : List.copyOf(process.runs)) {
            if (now >= run.at) {
                run.at = Integer.MAX_VALUE;
                if (run.called) {
                    run.operation.ended(server.now, Outcome.OK);
                    process.runs.remove(run);
                } else {
                    run.called = true;
                    run.operation.reachedCall(server.now);
                }
            }
        }
        if (process.chance.nextInt(10) == 0) {
            server.take(ControllerFixture.CALLING);
        }
        Decisions settled = server.settle();
        int running = (int)
                process.runs.stream().filter(run -> run.at != Integer.MAX_VALUE).count();
        server.control().look(server.now, new double[] {0, running});
        carryOut(process, settled, now, callMs);
        double speed = Math.min(1, 0.25 + 0.75 * (now - process.startsAt) / 10_000);
        assertTrue(server.control().figures().onCores() <= 8 * (1 + 3 * speed), "more on cold cores than they survive");
    }

    private void carryOut(SimulatedProcess process, Decisions settled, int now, double callMs) {
        for (RequestHandle answered : settled.brokenOff) {
            process.runs.stream()
                    .filter(run -> run.operation == answered)
                    .findFirst()
                    .ifPresent(run -> {
                        if (run.at == Integer.MAX_VALUE) {
                            // At its call, and over: the run ends, and the call is given up.
                            run.lingers = now + LINGER;
                            run.out = false;
                            run.operation.ended(process.server.now, Outcome.STOPPED);
                            process.runs.remove(run);
                        }
                    });
        }
        for (RequestHandle halted : settled.halted) {
            process.runs.removeIf(run -> run.operation == halted);
            halted.ended(process.server.now, Outcome.STOPPED);
        }
        for (RequestHandle started : settled.started) {
            process.runs.add(new SimulatedRun(process, started, now + STEP));
        }
        for (Decisions.TimedDecision call : settled.called) {
            SimulatedRun run = process.runs.stream()
                    .filter(r -> r.operation == call.operation())
                    .findFirst()
                    .orElseThrow();
            run.left = callMs;
            run.madeAt = now;
            run.givenUpAt = now + (int) Math.ceil(ControllerFixture.ms(call.span()));
            run.out = true;
            inHand.add(run);
        }
    }

    private void staysWithin(int processes, int told, double total, double callMs, boolean aligned, List<String> over) {
        double share = total / processes;
        double highest = highest(processes, told, share, callMs, Math.max(1, total / 5), aligned);
        double most = total + 2 * Math.sqrt(total) + 2;
        String what = String.format(
                Locale.ROOT,
                "%d processes (told %d), %s, N %.1f, calls of %.0f ms: %.2f of %.2f, %d went well",
                processes,
                told,
                aligned ? "aligned" : "random",
                total,
                callMs,
                highest,
                most,
                served);
        if (highest > most) {
            over.add(what);
        }
    }

    @Example
    void theFleetsCallsStayWithinItsSumAndWhatIsLeftToChance() {
        List<String> over = new ArrayList<>();
        for (int processes : new int[] {1, 2, 20, 30}) {
            for (double total : new double[] {0.06 * processes, 6, 24}) {
                for (double callMs : new double[] {20, 3000}) {
                    for (boolean aligned : new boolean[] {true, false}) {
                        staysWithin(processes, processes, total, callMs, aligned, over);
                    }
                }
            }
        }
        assertTrue(over.isEmpty(), String.join("\n", over));
    }

    /** Where the fleet is not counted, or fewer are listed at a start than there are in the end. */
    @Example
    void aFleetWhoseNumberIsNotKnownStaysWithinItsSumToo() {
        List<String> over = new ArrayList<>();
        for (int told : new int[] {0, 1}) {
            for (int processes : new int[] {20, 30}) {
                for (double callMs : new double[] {20, 3000}) {
                    for (boolean aligned : new boolean[] {true, false}) {
                        staysWithin(processes, told, 0.06 * processes, callMs, aligned, over);
                    }
                }
            }
        }
        assertTrue(over.isEmpty(), String.join("\n", over));
    }
}
