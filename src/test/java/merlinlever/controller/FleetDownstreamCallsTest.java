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
 * Simulates a fleet of controllers that share a downstream service. The fleet's concurrent calls, averaged over any
 * period of {@code calls-over}, must not exceed the sum N of the shares plus the random excess 2 x sqrt(N) + 2.
 */
class FleetDownstreamCallsTest {

    private static final int STEP_MS = 10;
    private static final int PERIOD_MS = 5000;
    private static final int LINGER_MS = 200;
    private static final int DURATION_MS = 11_000;
    /** Time of the next event of a run that waits for its call. */
    private static final int NO_EVENT = Integer.MAX_VALUE;

    /** Run of a process of the fleet: 10 ms of work, a downstream call, and another 10 ms of work. */
    private static final class SimulatedRun {
        final SimulatedProcess process;
        final RequestHandle handle;
        /** Time at which the run needs its call or, after the call, ends. */
        int nextEventMs;

        boolean called;
        /** Remaining work of the call. */
        double callWorkMs;

        int calledAtMs;
        int timesOutAtMs;
        /** Time until which the service holds the call after its timeout. */
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
     * Parameters of one simulated fleet.
     *
     * @param configuredSize the configured size of the fleet, or 0 without one
     * @param aligned whether all processes start at the same time and receive the same requests
     */
    private record Fleet(int processes, int configuredSize, double totalShare, double callMs, boolean aligned) {}

    private final List<SimulatedRun> heldCalls = new ArrayList<>();
    private int succeeded;

    /** Returns the highest mean of the fleet's concurrent calls over any period. */
    private double highestMean(Fleet fleet) {
        heldCalls.clear();
        succeeded = 0;
        List<SimulatedProcess> processes = start(fleet);
        double slots = Math.max(1, fleet.totalShare / 5);
        Deque<Integer> period = new ArrayDeque<>();
        double sum = 0;
        double highest = 0;
        for (int nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
            advanceService(nowMs, slots);
            for (SimulatedProcess process : processes) {
                if (nowMs >= process.startsAtMs) {
                    advance(process, nowMs, fleet.callMs);
                }
            }
            period.add(heldCalls.size());
            sum += heldCalls.size();
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
            if (fleet.configuredSize > 0) {
                process.server.with(settings -> settings.fleetSize(fleet.configuredSize));
            }
            process.server.seed = random.nextLong();
            process.startsAtMs = fleet.aligned ? 0 : random.nextInt(PERIOD_MS / STEP_MS) * STEP_MS;
            process.random = new SplittableRandom(fleet.aligned ? 7 : random.nextLong());
            processes.add(process);
        }
        return processes;
    }

    /** Advances all calls of the service by one step, and drops calls some time after their timeout. */
    private void advanceService(int nowMs, double slots) {
        double workedMs = STEP_MS * Math.min(1, slots / Math.max(1, heldCalls.size()));
        for (SimulatedRun run : List.copyOf(heldCalls)) {
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
                run.nextEventMs = done ? nowMs + STEP_MS : NO_EVENT;
                run.lingersUntilMs = nowMs + LINGER_MS;
            }
            if (done || (!run.inCall && nowMs >= run.lingersUntilMs)) {
                heldCalls.remove(run);
            }
        }
    }

    private void advance(SimulatedProcess process, int nowMs, double callMs) {
        ControllerFixture server = process.server;
        server.now = Duration.ofMillis(nowMs - process.startsAtMs);
        for (SimulatedRun run : List.copyOf(process.runs)) {
            if (nowMs >= run.nextEventMs) {
                run.nextEventMs = NO_EVENT;
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
                process.runs.stream().filter(run -> run.nextEventMs != NO_EVENT).count();
        server.updateGauges(0, (double) onCores);
        carryOut(process, batch, nowMs, callMs);
        double speed = Math.min(1, 0.25 + 0.75 * (nowMs - process.startsAtMs) / 10_000);
        int running = server.controller().metrics().requests().onCores();
        assertTrue(running <= 8 * (1 + 3 * speed), "more runs than the cold cores sustain");
    }

    private void carryOut(SimulatedProcess process, DecidedBatch batch, int nowMs, double callMs) {
        for (RequestHandle failed : batch.failed()) {
            process.runOf(failed).filter(run -> run.nextEventMs == NO_EVENT).ifPresent(run -> {
                // The failed request still waits for its call: the call is abandoned.
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
            heldCalls.add(run);
        }
    }

    /** Simulates the fleets; describes those that exceed their limit. */
    private List<String> fleetsOverLimit(List<Fleet> fleets) {
        List<String> fleetsOverLimit = new ArrayList<>();
        for (Fleet fleet : fleets) {
            double highest = highestMean(fleet);
            double limit = fleet.totalShare + 2 * Math.sqrt(fleet.totalShare) + 2;
            if (highest > limit) {
                fleetsOverLimit.add(String.format(
                        Locale.ROOT,
                        "%s: mean %.2f, limit %.2f, %d calls succeeded",
                        fleet,
                        highest,
                        limit,
                        succeeded));
            }
        }
        return fleetsOverLimit;
    }

    @Test
    void fleetStaysWithinItsSharesPlusTheRandomExcess() {
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
        List<String> fleetsOverLimit = fleetsOverLimit(fleets);
        assertTrue(fleetsOverLimit.isEmpty(), String.join("\n", fleetsOverLimit));
    }

    /** The configured size is missing, or smaller than the actual size of the fleet. */
    @Test
    void fleetOfUnknownSizeStaysWithinItsSharesPlusTheRandomExcess() {
        List<Fleet> fleets = new ArrayList<>();
        for (int configuredSize : new int[] {0, 1}) {
            for (int processes : new int[] {20, 30}) {
                for (double callMs : new double[] {20, 3000}) {
                    for (boolean aligned : new boolean[] {true, false}) {
                        fleets.add(new Fleet(processes, configuredSize, 0.06 * processes, callMs, aligned));
                    }
                }
            }
        }
        List<String> fleetsOverLimit = fleetsOverLimit(fleets);
        assertTrue(fleetsOverLimit.isEmpty(), String.join("\n", fleetsOverLimit));
    }
}
