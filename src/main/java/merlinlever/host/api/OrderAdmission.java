package merlinlever.host.api;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;

/**
 * Lets the overload controller decide which requests to the API are handled: queries are idempotent, orders are idempotent
 * by their id. A handler ends within the batch in which it starts; that an order is carried out once is up to the agent.
 */
final class OrderAdmission implements DecisionHandler<OrderAdmission.PendingRequest> {

    /** A request: how it is handled when it is admitted, and how it is answered when it is rejected. */
    static final class PendingRequest {
        private final Optional<String> orderId;
        private final Runnable handler;
        private final Consumer<Duration> onRejected;
        private RequestHandle handle;
        private boolean answered;

        private PendingRequest(Optional<String> orderId, Runnable handler, Consumer<Duration> onRejected) {
            this.orderId = orderId;
            this.handler = handler;
            this.onRejected = onRejected;
        }
    }

    private static final int LOOK = 0, ORDER = 1;
    private static final int IN_ONE_GO = 8;

    private final ControllerDriver<PendingRequest> driver;
    private final Map<String, PendingRequest> ordersById = new HashMap<>();
    private final Consumer<Duration> wakeUpScheduler;
    private final Consumer<String> log;
    private Duration now = Duration.ZERO;
    /** Whether something happened since the last decisions. */
    private boolean decisionDue;

    private int requestsInFlight;

    OrderAdmission(Duration grace, long seed, Consumer<Duration> wakeUpScheduler, Consumer<String> log) {
        this.wakeUpScheduler = wakeUpScheduler;
        this.log = log;
        Map<String, String> given = new HashMap<>();
        given.put("server.cores", "" + IN_ONE_GO);
        given.put("server.gauges", "run-queue");
        given.put("server.memory-kb", "16384");
        given.put("server.run-factor", "1");
        given.put("server.kb-per-fingerprint", "4");
        given.put("rules.drain-grace", "" + grace.toMillis());
        given.put("rules.longest-unread", "0");
        given.put("limits.stay-away", "true");
        given.put("limits.longest-stay-away", "2000");
        tariff(given, LOOK, "retriable", 1, 0);
        tariff(given, ORDER, "fingerprinted", 8, 600_000);
        driver = new ControllerDriver<>(given, seed, this);
    }

    private static void tariff(Map<String, String> given, int index, String kind, int value, int windowMs) {
        String at = "tariffs." + index + ".";
        given.put(at + "name", index == LOOK ? "look" : "order");
        given.put(at + "kind", kind);
        given.put(at + "value", "" + value);
        given.put(at + "soft-limit", "1000");
        given.put(at + "client-timeout", "5000");
        given.put(at + "window", "" + windowMs);
    }

    /** How many requests have no response yet. */
    int requestsInFlight() {
        return requestsInFlight;
    }

    /**
     * Submits a request.
     *
     * @param orderId for an order, empty for a query
     * @param handler handles it once it is admitted
     * @param onRejected answers it if it is rejected, with the time after which the client may retry
     */
    void submit(Duration at, Optional<String> orderId, Runnable handler, Consumer<Duration> onRejected) {
        now = at;
        decisionDue = true;
        requestsInFlight++;
        PendingRequest request = new PendingRequest(orderId, handler, onRejected);
        Optional<PendingRequest> original = orderId.map(id -> ordersById.putIfAbsent(id, request));
        RequestHandle handle = driver.controller()
                .submit(
                        at,
                        RequestAttributes.ofClass(orderId.isEmpty() ? LOOK : ORDER)
                                .memoryKb(4)
                                .original(original.map(earlier -> earlier.handle))
                                .build());
        request.handle = driver.register(handle, request);
    }

    /** The time has come for which the controller had scheduled a wake-up. */
    void wakeUp(Duration at) {
        now = at;
        decisionDue = true;
        driver.wakeUpFired();
        driver.controller().updateGauges(at, new double[] {0});
    }

    /** Begins to reject new requests, so that none is left when the agent stops. */
    void startDrain(Duration at, Duration stopAt) {
        now = at;
        decisionDue = true;
        driver.controller().startDrain(at, stopAt);
    }

    /** Lets the controller decide, until its decisions cause nothing more to be decided. */
    void decide(Duration at) {
        while (decisionDue) {
            decisionDue = false;
            now = at;
            driver.decide(at);
        }
    }

    private void run(PendingRequest asked) {
        decisionDue = true;
        if (!asked.answered) {
            asked.answered = true;
            requestsInFlight--;
            asked.handler.run();
        }
        asked.handle.runEnded(now, Outcome.OK);
    }

    @Override
    public void start(PendingRequest asked) {
        run(asked);
    }

    @Override
    public void shareOutcome(PendingRequest asked) {
        // The order is found by its id, and what has become of it is told.
        run(asked);
    }

    @Override
    public void reject(PendingRequest asked, boolean nowhereElse, Duration stayAway) {
        if (!asked.answered) {
            asked.answered = true;
            requestsInFlight--;
            asked.onRejected.accept(stayAway);
        }
        evict(asked);
    }

    @Override
    public void fail(PendingRequest asked) {
        reject(asked, false, Duration.ZERO);
    }

    @Override
    public void evict(PendingRequest asked) {
        asked.orderId.ifPresent(id -> ordersById.remove(id, asked));
    }

    @Override
    public void release(PendingRequest asked) {
        evict(asked);
    }

    @Override
    public void retain(PendingRequest asked, Duration span) {
        // Entered when it came.
    }

    @Override
    public void stop(PendingRequest asked) {
        // Nothing runs longer than a batch.
    }

    @Override
    public void callDownstream(PendingRequest asked, Duration giveUpAfter) {
        // Nothing here calls.
    }

    @Override
    public void skipCall(PendingRequest asked) {
        // Nothing here calls.
    }

    @Override
    public void updateBackpressureLevel(double level) {
        // Told nowhere.
    }

    @Override
    public void updateHealth(boolean good) {
        // Told nowhere.
    }

    @Override
    public void closeIdleConnections(Duration after) {
        // Each connection carries one message.
    }

    @Override
    public void log(ControllerEvent event) {
        log.accept(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        wakeUpScheduler.accept(at);
    }
}
