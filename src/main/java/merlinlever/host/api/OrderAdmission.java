package merlinlever.host.api;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.log.EventLog;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;

/**
 * Connects the API to the overload controller, which admits or rejects requests: queries are idempotent, orders are
 * idempotent by their id. Each handler runs synchronously. The agent, not this class, ensures that an order is applied
 * once.
 */
final class OrderAdmission implements DecisionHandler<OrderAdmission.PendingRequest> {

    /** A submitted request with its handler for admission and its callback for rejection. */
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

    /** Index of the priority class of queries. */
    private static final int QUERY = 0;
    /** Index of the priority class of orders. */
    private static final int ORDER = 1;

    private static final int QUERY_WEIGHT = 1;
    private static final int ORDER_WEIGHT = 8;
    /** Time in which a retry of an order is recognized. */
    private static final Duration ORDER_RETENTION = Duration.ofMinutes(10);

    private static final int MAX_CONCURRENT_HANDLERS = 8;
    private static final int REQUEST_MEMORY_KB = 4;
    private static final double MEMORY_LIMIT_KB = 16 * 1024.0;
    private static final double MEMORY_PER_ORDER_KB = 4;
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);
    private static final Duration LATENCY_OBJECTIVE = Duration.ofSeconds(1);
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(5);

    private final ControllerDriver<PendingRequest> driver;
    private final Map<String, PendingRequest> ordersById = new HashMap<>();
    private final Consumer<Duration> wakeUpScheduler;
    private final EventLog log;
    private Duration now = Duration.ZERO;
    /** Whether an event has occurred since the last decision. */
    private boolean decisionDue;

    private int requestsInFlight;

    OrderAdmission(Duration grace, long seed, Consumer<Duration> wakeUpScheduler, EventLog log) {
        this.wakeUpScheduler = wakeUpScheduler;
        this.log = log;
        driver = new ControllerDriver<>(settings(grace), seed, this);
    }

    /** Adds the priority classes in the order of the indexes {@link #QUERY} and {@link #ORDER}. */
    private static ControllerSettings settings(Duration drainGrace) {
        return ControllerSettings.builder()
                .cores(MAX_CONCURRENT_HANDLERS)
                .gauges(List.of(Gauge.RUN_QUEUE))
                .memoryKb(MEMORY_LIMIT_KB)
                .runMemoryFactor(1)
                .memoryPerKeyKb(MEMORY_PER_ORDER_KB)
                .drainGrace(Duration.ofMillis(drainGrace.toMillis()))
                .maxReadDelay(Duration.ZERO)
                .maxRetryAfter(MAX_RETRY_AFTER)
                .addPriorityClass(priorityClass("look", RequestSemantics.IDEMPOTENT)
                        .weight(QUERY_WEIGHT)
                        .idempotencyWindow(Duration.ZERO))
                .addPriorityClass(priorityClass("order", RequestSemantics.IDEMPOTENT_BY_KEY)
                        .weight(ORDER_WEIGHT)
                        .idempotencyWindow(ORDER_RETENTION))
                .build();
    }

    private static PriorityClassSettings.Builder priorityClass(String name, RequestSemantics semantics) {
        return PriorityClassSettings.named(name)
                .semantics(semantics)
                .latencyObjective(LATENCY_OBJECTIVE)
                .clientTimeout(CLIENT_TIMEOUT);
    }

    /** Returns the number of requests without a response. */
    int requestsInFlight() {
        return requestsInFlight;
    }

    /**
     * Submits a request.
     *
     * @param orderId id of an order, or empty for a query
     * @param handler runs when the request is admitted
     * @param onRejected called when the request is rejected, with the delay before a retry by the client
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
                        RequestAttributes.ofClass(orderId.isEmpty() ? QUERY : ORDER)
                                .memoryKb(REQUEST_MEMORY_KB)
                                .original(original.map(earlier -> earlier.handle))
                                .build());
        request.handle = driver.register(handle, request);
    }

    /** Runs the wake-up that the controller scheduled. */
    void wakeUp(Duration at) {
        now = at;
        decisionDue = true;
        driver.wakeUpFired();
        driver.controller().updateGauges(at, new double[] {0});
    }

    /** Starts a drain, after which no request is in flight when the agent stops. */
    void startDrain(Duration at, Duration stopAt) {
        now = at;
        decisionDue = true;
        driver.controller().startDrain(at, stopAt);
    }

    /** Runs the controller until no further decision is due. */
    void decide(Duration at) {
        while (decisionDue) {
            decisionDue = false;
            now = at;
            driver.decide(at);
        }
    }

    private void run(PendingRequest request) {
        decisionDue = true;
        if (!request.answered) {
            request.answered = true;
            requestsInFlight--;
            request.handler.run();
        }
        request.handle.runEnded(now, Outcome.OK);
    }

    @Override
    public void start(PendingRequest request) {
        run(request);
    }

    @Override
    public void shareOutcome(PendingRequest request) {
        // The handler looks up the order by its id and reports the progress.
        run(request);
    }

    @Override
    public void reject(PendingRequest request, boolean finalRejection, Duration retryAfter) {
        if (!request.answered) {
            request.answered = true;
            requestsInFlight--;
            request.onRejected.accept(retryAfter);
        }
        evict(request);
    }

    @Override
    public void fail(PendingRequest request) {
        reject(request, false, Duration.ZERO);
    }

    @Override
    public void evict(PendingRequest request) {
        request.orderId.ifPresent(id -> ordersById.remove(id, request));
    }

    @Override
    public void release(PendingRequest request) {
        evict(request);
    }

    @Override
    public void retain(PendingRequest request, Duration retention) {
        // submit already registers each order by its id.
    }

    @Override
    public void log(ControllerEvent event) {
        log.info(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        wakeUpScheduler.accept(at);
    }
}
