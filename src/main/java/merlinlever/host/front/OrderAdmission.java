package merlinlever.host.front;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.log.EventLog;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;

/**
 * Has the decision module say which messages to the host agent are taken and begun: looks are retriable, orders are
 * fingerprinted by their id. What runs ends within the same batch; that an order is done once is seen to by its id.
 */
final class OrderAdmission implements DecisionHandler<OrderAdmission.PendingRequest> {

    /** One message: how it is answered when it runs, and how when it is turned away. */
    static final class PendingRequest {
        private final Runnable run;
        private final Consumer<Duration> pushedBack;
        private final String mark;
        private RequestHandle handle;
        private boolean answered;

        private PendingRequest(String mark, Runnable run, Consumer<Duration> pushedBack) {
            this.mark = mark;
            this.run = run;
            this.pushedBack = pushedBack;
        }
    }

    private static final int LOOK = 0, ORDER = 1;
    private static final int IN_ONE_GO = 8;

    private final ControllerDriver<PendingRequest> conductor;
    private final Map<String, PendingRequest> byMark = new HashMap<>();
    private final Consumer<Duration> alarm;
    private final EventLog log;
    private Duration now = Duration.ZERO;
    private boolean touched;
    private int inHand;

    OrderAdmission(Duration grace, long seed, Consumer<Duration> alarm, EventLog log) {
        this.alarm = alarm;
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
        conductor = new ControllerDriver<>(given, seed, this);
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

    int inHand() {
        return inHand;
    }

    /** @param mark the id of an order, or null for a look */
    void came(Duration at, String mark, Runnable run, Consumer<Duration> pushedBack) {
        now = at;
        touched = true;
        inHand++;
        PendingRequest asked = new PendingRequest(mark, run, pushedBack);
        PendingRequest original = mark == null ? null : byMark.putIfAbsent(mark, asked);
        RequestHandle taken = conductor
                .controller()
                .submit(
                        at,
                        RequestAttributes.ofClass(mark == null ? LOOK : ORDER)
                                .memoryKb(4)
                                .original(Optional.ofNullable(original).map(earlier -> earlier.handle))
                                .build());
        asked.handle = conductor.register(taken, asked);
    }

    void alarmed(Duration at) {
        now = at;
        touched = true;
        conductor.wakeUpFired();
        conductor.controller().updateGauges(at, new double[] {0});
    }

    void leave(Duration at, Duration stop) {
        now = at;
        touched = true;
        conductor.controller().startDrain(at, stop);
    }

    void settle(Duration at) {
        while (touched) {
            touched = false;
            now = at;
            conductor.decide(at);
        }
    }

    private void run(PendingRequest asked) {
        touched = true;
        if (!asked.answered) {
            asked.answered = true;
            inHand--;
            asked.run.run();
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
            inHand--;
            asked.pushedBack.accept(stayAway);
        }
        evict(asked);
    }

    @Override
    public void fail(PendingRequest asked) {
        reject(asked, false, Duration.ZERO);
    }

    @Override
    public void evict(PendingRequest asked) {
        if (asked.mark != null) {
            byMark.remove(asked.mark, asked);
        }
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
    public void log(ControllerEvent event) {
        log.line(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        alarm.accept(at);
    }
}
