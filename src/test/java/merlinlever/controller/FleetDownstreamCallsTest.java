package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import merlinlever.controller.settings.DownstreamKind;
import org.junit.jupiter.api.Test;

/**
 * A model of a whole fleet of controllers round one downstream service that they share, whose calls take longer the
 * more of them it holds, and which holds a call for a while that was given up. The fleet's calls in progress, averaged
 * over any period of {@code calls-over}, stay within the sum N of the shares and the random excess 2 x sqrt(N) + 2,
 * however many processes make up the fleet, and also where all start cold at one instant and receive the same.
 */
class FleetDownstreamCallsTest {

    private static final int STEP_MS = 10;
    private static final int PERIOD_MS = 5000;
    private static final int LINGER_MS = 200;
    private static final int LENGTH_MS = 11_000;
    /** Of a run that waits for its call. */
    private static final int NEVER = Integer.MAX_VALUE;

    /** One run of a process of the fleet: 10 ms to its call, the call, and 10 ms after it. */
    private static final class SimulatedRun {
        final SimulatedProcess process;
        final RequestHandle handle;
        /** When it comes to its call or, with the call behind it, ends. */
        int nextEventMs;

        boolean called;
        /** What is left of the work of its call. */
        double callWorkMs;

        int calledAtMs;
        int timesOutAtMs;
        /** Until when its call stays after it was given up. */
        int lingersUntilMs;

        boolean inCall;

        SimulatedRun(SimulatedProcess process, RequestHandle handle, int nextEventMs) {
            this.process = process;
            this.handle = handle;
            this.nextEventMs = nextEventMs;
        }
    }

    private static final class SimulatedProcess {
        ControllerFixture server;
        int startsAtMs;
        SplittableRandom random;
        final List<SimulatedRun> runs = new ArrayList<>();

        Optional<SimulatedRun> runOf(RequestHandle handle) {
            return runs.stream().filter(run -> run.handle == handle).findFirst();
        }
    }

    /**
     * One fleet.
     *
     * @param announced the size of the fleet that its processes are told, or 0 for none
     * @param aligned whether all start at once and receive the same
     */
    private record Fleet(int processes, int announced, double totalShare, double callMs, boolean aligned) {}

    private final List<SimulatedRun> callsHeld = new ArrayList<>();
    private int succeeded;

    /** The highest mean of the fleet's calls in progress over any period. */
    private double highestMean(Fleet fleet) {
        callsHeld.clear();
        succeeded = 0;
        List<SimulatedProcess> processes = start(fleet);
        double slots = Math.max(1, fleet.totalShare / 5);
        Deque<Integer> period = new ArrayDeque<>();
        double sum = 0;
        double highest = 0;
        for (int nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
            advanceService(nowMs, slots);
            for (SimulatedProcess process : processes) {
                if (nowMs >= process.startsAtMs) {
                    advance(process, nowMs, fleet.callMs);
                }
            }
            period.add(callsHeld.size());
            sum += callsHeld.size();
            if (period.size() > PERIOD_MS / STEP_MS) {
                sum -= period.poll();
            }
            highest = Math.max(highest, sum / (PERIOD_MS / STEP_MS));
        }
        return highest;
    }

    private static List<SimulatedProcess> start(Fleet fleet) {
        SplittableRandom random = new SplittableRandom(36);
        List<SimulatedProcess> processes = new ArrayList<>();
        for (int i = 0; i < fleet.processes; i++) {
            SimulatedProcess process = new SimulatedProcess();
            process.server = new ControllerFixture()
                    .withDownstream(DownstreamKind.SHARED)
                    .with(settings -> settings.shareOfCalls(fleet.totalShare / fleet.processes)
                            .callAveragingTime(Duration.ofMillis(PERIOD_MS))
                            .callLingerTime(Duration.ofMillis(LINGER_MS))
                            .cold(true)
                            .coldSpeed(0.25)
                            .warmUpTime(Duration.ofSeconds(10)));
            if (fleet.announced > 0) {
                process.server.with(settings -> settings.fleetSize(fleet.announced));
            }
            process.server.seed = random.nextLong();
            process.startsAtMs = fleet.aligned ? 0 : random.nextInt(PERIOD_MS / STEP_MS) * STEP_MS;
            process.random = new SplittableRandom(fleet.aligned ? 7 : random.nextLong());
            processes.add(process);
        }
        return processes;
    }

    /** The service works on all calls that it holds at once; one that was given up it drops after a while. */
    private void advanceService(int nowMs, double slots) {
        double workedMs = STEP_MS * Math.min(1, slots / Math.max(1, callsHeld.size()));
        for (SimulatedRun run : List.copyOf(callsHeld)) {
            run.callWorkMs -= workedMs;
            boolean done = run.callWorkMs <= 0;
            if (run.inCall && (done || nowMs >= run.timesOutAtMs)) {
                run.inCall = false;
                succeeded += done ? 1 : 0;
                run.process.server.now = Duration.ofMillis(nowMs - run.process.startsAtMs);
                run.handle.callEnded(
                        run.process.server.now,
                        done ? Outcome.OK : Outcome.TIMED_OUT,
                        Duration.ofMillis(nowMs - run.calledAtMs));
                run.nextEventMs = done ? nowMs + STEP_MS : NEVER;
                run.lingersUntilMs = nowMs + LINGER_MS;
            }
            if (done || (!run.inCall && nowMs >= run.lingersUntilMs)) {
                callsHeld.remove(run);
            }
        }
    }

    private void advance(SimulatedProcess process, int nowMs, double callMs) {
        ControllerFixture server = process.server;
        server.now = Duration.ofMillis(nowMs - process.startsAtMs);
        for (SimulatedRun run : List.copyOf(process.runs)) {
            if (nowMs >= run.nextEventMs) {
                run.nextEventMs = NEVER;
                if (run.called) {
                    run.handle.runEnded(server.now, Outcome.OK);
                    process.runs.remove(run);
                } else {
                    run.called = true;
                    run.handle.callNeeded(server.now);
                }
            }
        }
        if (process.random.nextInt(10) == 0) {
            server.submit(ControllerFixture.CALLING);
        }
        DecidedBatch batch = server.decide();
        long onCores =
                process.runs.stream().filter(run -> run.nextEventMs != NEVER).count();
        server.updateGauges(0, (double) onCores);
        carryOut(process, batch, nowMs, callMs);
        double speed = Math.min(1, 0.25 + 0.75 * (nowMs - process.startsAtMs) / 10_000);
        int running = server.controller().metrics().requests().onCores();
        assertTrue(running <= 8 * (1 + 3 * speed), "more on cold cores than they survive");
    }

    private void carryOut(SimulatedProcess process, DecidedBatch batch, int nowMs, double callMs) {
        for (RequestHandle failed : batch.failed()) {
            process.runOf(failed).filter(run -> run.nextEventMs == NEVER).ifPresent(run -> {
                // It waits for its call, and has ended: the call is given up.
                run.lingersUntilMs = nowMs + LINGER_MS;
                run.inCall = false;
                run.handle.runEnded(process.server.now, Outcome.STOPPED);
                process.runs.remove(run);
            });
        }
        for (RequestHandle stopped : batch.stopped()) {
            process.runs.removeIf(run -> run.handle == stopped);
            stopped.runEnded(process.server.now, Outcome.STOPPED);
        }
        for (RequestHandle started : batch.started()) {
            process.runs.add(new SimulatedRun(process, started, nowMs + STEP_MS));
        }
        for (Decision.CallDownstream call : batch.calls()) {
            SimulatedRun run = process.runOf(call.request()).orElseThrow();
            run.callWorkMs = callMs;
            run.calledAtMs = nowMs;
            run.timesOutAtMs = nowMs + (int) Math.ceil(Durations.toMillis(call.timeout()));
            run.inCall = true;
            callsHeld.add(run);
        }
    }

    /** The fleets of this list that exceed what they may, with their figures. */
    private List<String> exceeding(List<Fleet> fleets) {
        List<String> exceeding = new ArrayList<>();
        for (Fleet fleet : fleets) {
            double highest = highestMean(fleet);
            double permitted = fleet.totalShare + 2 * Math.sqrt(fleet.totalShare) + 2;
            if (highest > permitted) {
                exceeding.add(String.format(
                        Locale.ROOT, "%s: %.2f of %.2f, %d succeeded", fleet, highest, permitted, succeeded));
            }
        }
        return exceeding;
    }

    @Test
    void fleetStaysWithinItsSharesAndTheRandomExcess() {
        List<Fleet> fleets = new ArrayList<>();
        for (int processes : new int[] {1, 2, 20, 30}) {
            for (double totalShare : new double[] {0.06 * processes, 6, 24}) {
                for (double callMs : new double[] {20, 3000}) {
                    for (boolean aligned : new boolean[] {true, false}) {
                        fleets.add(new Fleet(processes, processes, totalShare, callMs, aligned));
                    }
                }
            }
        }
        List<String> exceeding = exceeding(fleets);
        assertTrue(exceeding.isEmpty(), String.join("\n", exceeding));
    }

    /** Where the fleet is not counted, or fewer are listed at a start than there are in the end. */
    @Test
    void fleetOfUnknownSizeStaysWithinThemToo() {
        List<Fleet> fleets = new ArrayList<>();
        for (int announced : new int[] {0, 1}) {
            for (int processes : new int[] {20, 30}) {
                for (double callMs : new double[] {20, 3000}) {
                    for (boolean aligned : new boolean[] {true, false}) {
                        fleets.add(new Fleet(processes, announced, 0.06 * processes, callMs, aligned));
                    }
                }
            }
        }
        List<String> exceeding = exceeding(fleets);
        assertTrue(exceeding.isEmpty(), String.join("\n", exceeding));
    }
}
