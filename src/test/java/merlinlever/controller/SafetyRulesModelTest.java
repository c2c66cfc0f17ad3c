package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import merlinlever.controller.settings.RunStopping;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks the four safety rules of the controller on random workloads with duplicates, disconnecting callers, failed
 * calls, stalls, a drain, cold starts and little memory. The model tracks the expected state of every request.
 */
class SafetyRulesModelTest {

    private static final Duration ANSWER_TOLERANCE = Duration.ofMillis(60);

    /** The model's state of one request. */
    private static final class ModelRequest {
        int priorityClass;
        Duration arrivedAt;
        Duration deadline;
        double memoryKb;
        ModelRequest original;
        boolean running;
        boolean awaitingCall;
        boolean inCall;
        boolean sharingOutcome;
        boolean everStarted;
        boolean answered;
        boolean callerGone;
        boolean callMayHaveTakenEffect;
        boolean ended;
        /** Null unless retained. */
        Duration retainedUntil;
    }

    private final IdentityHashMap<RequestHandle, ModelRequest> requests = new IdentityHashMap<>();
    private final List<RequestHandle> handles = new ArrayList<>();
    private SplittableRandom random;
    private ControllerFixture server;
    /** Null before the drain. */
    private Duration drainStartedAt;

    private Duration stopAt;

    @Property(tries = 60, seed = "20261201")
    void controllerKeepsTheSafetyRules(@ForAll long seed) {
        random = new SplittableRandom(seed);
        requests.clear();
        handles.clear();
        drainStartedAt = null;
        double memoryKb = random.nextBoolean() ? 1500 : 20000;
        boolean cold = random.nextBoolean();
        server = new ControllerFixture()
                .with(settings ->
                        settings.memoryKb(memoryKb).cold(cold).coldSpeed(0.25).warmUpTime(Duration.ofSeconds(8)))
                .withRunStopping(random.nextBoolean() ? RunStopping.DROP : RunStopping.NONE);
        boolean stalls = random.nextInt(4) == 0;
        for (int step = 0; step < 900 && !isStopped(); step++) {
            server.now = server.now.plusMillis(10);
            if (drainStartedAt == null && step > 300 && random.nextInt(200) == 0) {
                drainStartedAt = server.now;
                stopAt = drainStartedAt.plusMillis(3500);
                server.controller().startDrain(server.now, stopAt);
            }
            int arrivals = random.nextInt(10) == 0 ? random.nextInt(12) : random.nextInt(2);
            for (int i = 0; i < arrivals; i++) {
                arrive();
            }
            if (!(stalls && step > 200 && step < 500)) {
                advance();
            }
            server.updateGauges(1, onCores());
            carryOut(server.decide());
            checkLoad(memoryKb, cold);
        }
        for (ModelRequest request : requests.values()) {
            boolean answerDue = isStopped() || server.now.compareTo(request.deadline) > 0;
            assertTrue(
                    !answerDue || request.answered || request.callerGone,
                    "rules 1 and 3: every request is answered before its deadline and the stop");
        }
    }

    private boolean isStopped() {
        return drainStartedAt != null && server.now.compareTo(stopAt) >= 0;
    }

    private void arrive() {
        ModelRequest request = new ModelRequest();
        request.priorityClass = random.nextInt(4);
        double readDelayMs = random.nextInt(4) == 0 ? random.nextDouble(400) : 5;
        request.arrivedAt = server.now.minus(Durations.ofMillis(readDelayMs));
        request.deadline = request.arrivedAt.plusMillis(3000);
        request.memoryKb = 5 + random.nextDouble(30);
        RequestHandle original = null;
        if (request.priorityClass == ControllerFixture.CHARGE || request.priorityClass == ControllerFixture.CALLING) {
            for (RequestHandle handle : handles) {
                ModelRequest earlier = requests.get(handle);
                boolean canBeFound = earlier.retainedUntil != null
                        && earlier.retainedUntil.compareTo(request.arrivedAt) > 0
                        && (earlier.everStarted || !earlier.ended);
                boolean canBeOriginal =
                        canBeFound && earlier.priorityClass == request.priorityClass && earlier.original == null;
                if (canBeOriginal && random.nextInt(6) == 0) {
                    original = handle;
                }
            }
        }
        RequestHandle submitted = server.submit(request.priorityClass, readDelayMs, request.memoryKb, original);
        request.original = original == null ? null : requests.get(original);
        requests.put(submitted, request);
        handles.add(submitted);
    }

    private void advance() {
        handles.removeIf(handle -> canBeForgotten(requests.get(handle)));
        for (RequestHandle handle : new ArrayList<>(handles)) {
            ModelRequest request = requests.get(handle);
            if (request.ended) {
                continue;
            }
            if (request.running && !request.awaitingCall && random.nextInt(20) == 0) {
                if (request.priorityClass == ControllerFixture.CALLING && random.nextBoolean()) {
                    request.awaitingCall = true;
                    handle.callNeeded(server.now);
                } else {
                    endRun(handle, request, random.nextInt(9) == 0 ? Outcome.ERROR : Outcome.OK);
                }
            } else if (request.inCall && random.nextInt(10) == 0) {
                endCall(handle, request);
            } else if (request.sharingOutcome && request.original.ended) {
                endRun(handle, request, Outcome.OK);
            } else if (!request.answered && random.nextInt(300) == 0) {
                disconnectCaller(handle, request);
            }
        }
    }

    private boolean canBeForgotten(ModelRequest request) {
        return request.ended && (request.retainedUntil == null || request.retainedUntil.compareTo(server.now) < 0);
    }

    private void endCall(RequestHandle handle, ModelRequest request) {
        Outcome[] outcomes = {Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.UNREACHABLE};
        Outcome outcome = outcomes[random.nextInt(outcomes.length)];
        request.callMayHaveTakenEffect |= outcome != Outcome.OK && !outcome.provesNoEffect();
        request.awaitingCall = outcome != Outcome.OK;
        request.inCall = false;
        handle.callEnded(server.now, outcome, Duration.ofMillis(50));
    }

    private void disconnectCaller(RequestHandle handle, ModelRequest request) {
        request.callerGone = true;
        handle.callerGone(server.now);
        if (!request.running) {
            request.ended = true;
        } else if (request.awaitingCall) {
            endRun(handle, request, Outcome.STOPPED);
        }
    }

    private void endRun(RequestHandle handle, ModelRequest request, Outcome outcome) {
        request.ended = true;
        request.running = false;
        request.inCall = false;
        request.answered = true;
        handle.runEnded(server.now, outcome);
    }

    private void carryOut(DecidedBatch batch) {
        batch.retained().forEach(this::retain);
        batch.failed().forEach(this::answer);
        batch.stopped().forEach(this::stop);
        for (Decision.Reject rejection : batch.rejected()) {
            assertTrue(!requests.get(rejection.request()).everStarted, "rule 2: a started request is not rejected");
            answer(rejection.request());
        }
        batch.evicted().forEach(handle -> requests.get(handle).retainedUntil = null);
        batch.started().forEach(this::start);
        for (RequestHandle handle : batch.sharingOutcome()) {
            ModelRequest request = requests.get(handle);
            assertTrue(request.original != null && !request.answered, "only duplicates share an outcome");
            request.sharingOutcome = true;
        }
        for (Decision.CallDownstream call : batch.calls()) {
            ModelRequest request = requests.get(call.request());
            boolean isWaiting = request.awaitingCall && !request.inCall && !request.answered;
            assertTrue(isWaiting, "only a run that waits for a call makes a call");
            assertTrue(!request.callMayHaveTakenEffect, "rule 2: no retry of a call that may have run");
            request.inCall = true;
        }
    }

    private void retain(Decision.Retain decision) {
        ModelRequest request = requests.get(decision.request());
        if (request.original != null) {
            requests.values().stream()
                    .filter(other -> other == request.original || other.original == request.original)
                    .forEach(other -> other.retainedUntil = null);
        }
        request.retainedUntil = server.now.plus(decision.retention());
    }

    private void stop(RequestHandle handle) {
        ModelRequest request = requests.get(handle);
        if (request.running) {
            assertTrue(request.answered || request.callerGone, "only answered requests are stopped");
            endRun(handle, request, Outcome.STOPPED);
        }
    }

    private void start(RequestHandle handle) {
        ModelRequest request = requests.get(handle);
        boolean isWaiting = !request.answered && !request.callerGone && !request.running;
        boolean idempotent = request.priorityClass == ControllerFixture.LOOKUP;
        boolean retained = request.retainedUntil != null;
        boolean inGrace = drainStartedAt == null || request.arrivedAt.compareTo(drainStartedAt.plusMillis(2000)) <= 0;
        assertTrue(isWaiting, "only queued and unanswered requests are started");
        assertTrue(!request.everStarted || idempotent, "rule 2: no non-idempotent request runs twice");
        assertTrue(
                request.priorityClass != ControllerFixture.CHARGE || retained,
                "rule 2: a request with a key is retained before its run");
        assertTrue(
                request.original == null || !request.original.everStarted,
                "rule 2: no duplicate of a started request runs");
        assertTrue(inGrace, "rule 3: no request runs that arrived after the grace period");
        request.running = true;
        request.everStarted = true;
    }

    private void answer(RequestHandle handle) {
        ModelRequest request = requests.get(handle);
        assertTrue(!request.answered, "rule 1: exactly one answer");
        assertTrue(
                server.now.compareTo(request.deadline.plus(ANSWER_TOLERANCE)) <= 0,
                "rule 1: answered before the deadline");
        request.answered = true;
        if (!request.running) {
            request.ended = true;
        } else if (request.awaitingCall) {
            endRun(handle, request, Outcome.STOPPED);
        }
    }

    private int onCores() {
        return (int) handles.stream()
                .map(requests::get)
                .filter(request -> request.running && !request.awaitingCall)
                .count();
    }

    private void checkLoad(double memoryKb, boolean cold) {
        double usedKb = 0;
        for (RequestHandle handle : handles) {
            ModelRequest request = requests.get(handle);
            usedKb += request.ended ? 0 : request.running ? request.memoryKb * 4 : request.memoryKb;
            boolean retained = request.retainedUntil != null && request.retainedUntil.compareTo(server.now) > 0;
            usedKb += retained ? 100 : 0;
        }
        assertTrue(usedKb <= memoryKb, "rule 4: memory in KB " + usedKb);
        double speed = cold ? Math.min(1, 0.25 + 0.75 * Durations.toMillis(server.now) / 8000) : 1;
        assertTrue(onCores() <= 8 * (1 + 3 * speed), "rule 4: runs on the cores " + onCores());
    }
}
