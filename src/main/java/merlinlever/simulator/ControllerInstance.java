package merlinlever.simulator;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import merlinlever.common.Durations;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.RawSettings;
import merlinlever.controller.settings.SettingsParser;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;

/**
 * Controller of one simulated server, with the simulator's ids of its requests. Times in the protocol are milliseconds
 * of the simulator's clock; times of the controller are relative to the start of the server.
 */
final class ControllerInstance implements DecisionHandler<Long> {

    /** The outcomes, indexed by their code in the protocol. */
    private static final Outcome[] OUTCOMES_BY_CODE = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMED_OUT,
        Outcome.UNREACHABLE,
        Outcome.CONNECTION_LOST,
        Outcome.STOPPED,
        Outcome.NOT_STARTED
    };

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MICROS_PER_MILLI = 1000;
    /** The protocol has no timers without a delay. */
    private static final double MIN_WAKE_UP_DELAY_MS = 0.001;

    private final String name;
    private final double startMs;
    private final ControllerDriver<Long> driver;
    private final Map<Long, RequestHandle> handlesById = new HashMap<>();
    /** The number of wake-ups scheduled so far, which is part of the handle of a wake-up in the protocol. */
    private long wakeUpCount;
    /** Simulator time of the current batch. */
    private double nowMs;
    /** Output of the current batch. */
    private StringBuilder reply;

    ControllerInstance(WireMessage enlistment, double nowMs) {
        name = enlistment.requiredText("who");
        startMs = nowMs;
        driver = new ControllerDriver<>(
                SettingsParser.parse(settings(enlistment)), enlistment.integer("entropy", 0), this);
    }

    private static RawSettings settings(WireMessage enlistment) {
        Map<String, String> settings = new HashMap<>();
        for (String field : enlistment.line().split(" ")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                settings.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return RawSettings.of(settings);
    }

    private Duration sinceStart(double timeMs) {
        return duration(timeMs - startMs);
    }

    private static Duration duration(double ms) {
        return Duration.ofNanos(Math.round(ms * NANOS_PER_MILLI));
    }

    /**
     * Reports an event to the controller.
     *
     * @throws MalformedMessageException if the event is unknown, or one of its fields is missing or malformed
     */
    void handleEvent(WireMessage event, double simulatorMs) {
        Duration now = sinceStart(simulatorMs);
        switch (event.verb()) {
            case "req" -> submit(event, now);
            case "completed" -> handle(event).runEnded(now, outcome(event));
            case "at_call" -> handle(event).callNeeded(now);
            case "downstream" -> handle(event).callEnded(now, outcome(event), duration(event.number("cost-time", 0)));
            case "withdrawn" -> handle(event).callerGone(now);
            case "drain" -> driver.controller().startDrain(now, sinceStart(event.requiredNumber("not-after")));
            case "timeout_fired" -> {
                if (event.requiredText("handle").equals("look" + wakeUpCount)) {
                    driver.wakeUpFired();
                }
                driver.controller().updateGauges(now, event.numbers("report"));
            }
            default -> throw event.malformed("unknown event " + event.verb());
        }
    }

    private RequestHandle handle(WireMessage event) {
        return handleOf(event.requiredInteger("id"));
    }

    private RequestHandle handleOf(long id) {
        return handlesById.getOrDefault(id, ControllerDriver.UNKNOWN_REQUEST);
    }

    private void submit(WireMessage event, Duration now) {
        Long id = event.requiredInteger("id");
        int priorityClass = driver.priorityClassIndex(event.requiredText("kind"));
        if (priorityClass < 0) {
            throw event.malformed("unknown kind " + event.text("kind"));
        }
        double deadlineMs = event.number("not-after", 0);
        double runTimeHintMs = event.number("work", 0);
        long originalId = event.integer("same-as", 0);
        RequestAttributes attributes = RequestAttributes.ofClass(priorityClass)
                .readDelay(duration(event.number("unread-for", 0)))
                .deadline(deadlineMs == 0 ? Optional.empty() : Optional.of(sinceStart(deadlineMs)))
                .memoryKb(event.number("size-kb", 0))
                .costHint(runTimeHintMs == 0 ? Optional.empty() : Optional.of(duration(runTimeHintMs)))
                .retry(event.flag("resent"))
                .shareable(event.text("name-key") != null && !event.flag("write"))
                .original(originalId == 0 ? Optional.empty() : Optional.of(handleOf(originalId)))
                .build();
        RequestHandle handle = driver.controller().submit(now, attributes);
        handlesById.put(id, driver.register(handle, id));
    }

    /** Lets the controller decide on all reported events and appends the decisions to the output. */
    void decide(double simulatorMs, StringBuilder output) {
        nowMs = simulatorMs;
        reply = output;
        driver.decide(sinceStart(simulatorMs));
    }

    @Override
    public void updateBackpressureLevel(double level) {
        beginLine("announce").append(" amount=").append(level).append('\n');
    }

    @Override
    public void updateHealth(boolean healthy) {
        beginLine("report_health").append(healthy ? " on=1" : " on=0").append(" from-state=1\n");
    }

    @Override
    public void closeIdleConnections(Duration idleTimeout) {
        appendMillis(beginLine("reap_after").append(" for-time="), idleTimeout).append('\n');
    }

    @Override
    public void retain(Long id, Duration retention) {
        appendMillis(beginLine("pin", id).append(" for-time="), retention).append('\n');
    }

    @Override
    public void fail(Long id) {
        beginLine("report_failure", id).append('\n');
    }

    @Override
    public void stop(Long id) {
        beginLine("stop", id).append('\n');
    }

    @Override
    public void reject(Long id, boolean finalRejection, Duration retryAfter) {
        beginLine("deny", id);
        if (finalRejection) {
            reply.append(" final=1");
        }
        if (!retryAfter.isZero()) {
            appendMillis(reply.append(" hold-off="), retryAfter);
        }
        reply.append('\n');
    }

    @Override
    public void evict(Long id) {
        beginLine("unpin", id).append('\n');
    }

    @Override
    public void start(Long id) {
        beginLine("dispatch", id).append('\n');
    }

    @Override
    public void shareOutcome(Long id) {
        beginLine("echo", id).append('\n');
    }

    @Override
    public void callDownstream(Long id, Duration timeout) {
        appendMillis(beginLine("call", id).append(" give-up-after="), timeout).append('\n');
    }

    @Override
    public void skipCall(Long id) {
        beginLine("omit", id).append('\n');
    }

    @Override
    public void log(ControllerEvent event) {
        beginLine("log").append(" line=").append(WireEventText.of(event)).append('\n');
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        wakeUpCount++;
        Duration delay = duration(Math.max(startMs + Durations.toMillis(at) - nowMs, MIN_WAKE_UP_DELAY_MS));
        appendMillis(beginLine("set_alarm").append(" offset="), delay)
                .append(" handle=look")
                .append(wakeUpCount)
                .append('\n');
    }

    @Override
    public void release(Long id) {
        handlesById.remove(id);
    }

    /** Begins a line for an action of this instance. */
    private StringBuilder beginLine(String verb) {
        return reply.append(verb).append(" who=").append(name);
    }

    /** Begins a line for an action on a request. */
    private StringBuilder beginLine(String verb, Long id) {
        return beginLine(verb).append(" id=").append(id.longValue());
    }

    private static Outcome outcome(WireMessage event) {
        long code = event.requiredInteger("code");
        if (code < 0 || code >= OUTCOMES_BY_CODE.length) {
            throw event.malformed("unknown outcome code " + code);
        }
        return OUTCOMES_BY_CODE[(int) code];
    }

    /** Appends a duration in milliseconds, truncated to three decimal places. */
    private static StringBuilder appendMillis(StringBuilder out, Duration duration) {
        long micros = TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
        out.append(micros / MICROS_PER_MILLI).append('.');
        // Adding 1000 preserves leading zeros; the leading 1 is skipped.
        String paddedMicros = Long.toString(micros % MICROS_PER_MILLI + MICROS_PER_MILLI);
        return out.append(paddedMicros, 1, paddedMicros.length());
    }
}
