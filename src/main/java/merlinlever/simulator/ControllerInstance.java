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
 * One simulated server: a controller, and the ids by which the simulator names its requests. Times on the wire are
 * milliseconds of the simulator's clock; the controller's times count from the start of the server.
 */
final class ControllerInstance implements DecisionHandler<Long> {

    /** The outcomes by their code on the wire. */
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
    /** The protocol has no timer that is due at once. */
    private static final double MIN_WAKE_UP_DELAY_MS = 0.001;

    private final String name;
    private final double startMs;
    private final ControllerDriver<Long> driver;
    private final Map<Long, RequestHandle> handlesById = new HashMap<>();
    /** How many wake-ups were requested; the number is part of their handle on the wire. */
    private long wakeUps;
    /** The time of the decision that is being carried out. */
    private double nowMs;
    /** Where the decision that is being carried out is written. */
    private StringBuilder reply;

    ControllerInstance(WireMessage enlistment, double nowMs) {
        name = enlistment.requiredText("who");
        startMs = nowMs;
        driver = new ControllerDriver<>(
                SettingsParser.parse(settings(enlistment)), enlistment.wholeNumber("entropy", 0), this);
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
     * Passes an event to the controller.
     *
     * @throws MalformedMessageException if the event is unknown or a field of it is missing or wrong
     */
    void handleEvent(WireMessage event, double eventMs) {
        Duration now = sinceStart(eventMs);
        switch (event.verb()) {
            case "req" -> admit(event, now);
            case "completed" -> handle(event).runEnded(now, outcome(event));
            case "at_call" -> handle(event).callNeeded(now);
            case "downstream" -> handle(event).callEnded(now, outcome(event), duration(event.number("cost-time", 0)));
            case "withdrawn" -> handle(event).callerGone(now);
            case "drain" -> driver.controller().startDrain(now, sinceStart(event.requiredNumber("not-after")));
            case "timeout_fired" -> {
                if (event.requiredText("handle").equals("look" + wakeUps)) {
                    driver.wakeUpFired();
                }
                driver.controller().updateGauges(now, event.numbers("report"));
            }
            default -> throw event.malformed("unknown event " + event.verb());
        }
    }

    private RequestHandle handle(WireMessage event) {
        return handleOf(event.requiredWholeNumber("id"));
    }

    private RequestHandle handleOf(long id) {
        return handlesById.getOrDefault(id, ControllerDriver.UNKNOWN_REQUEST);
    }

    private void admit(WireMessage event, Duration now) {
        Long id = event.requiredWholeNumber("id");
        int priorityClass = driver.priorityClassIndex(event.requiredText("kind"));
        if (priorityClass < 0) {
            throw event.malformed("unknown kind " + event.text("kind"));
        }
        double deadlineMs = event.number("not-after", 0);
        double runTimeHintMs = event.number("work", 0);
        long originalId = event.wholeNumber("same-as", 0);
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

    /** Lets the controller decide on all events so far and appends its decisions to the reply. */
    void decide(double decisionMs, StringBuilder decisions) {
        nowMs = decisionMs;
        reply = decisions;
        driver.decide(sinceStart(decisionMs));
    }

    @Override
    public void updateBackpressureLevel(double level) {
        begin("announce").append(" amount=").append(level).append('\n');
    }

    @Override
    public void updateHealth(boolean healthy) {
        begin("report_health").append(healthy ? " on=1" : " on=0").append(" from-state=1\n");
    }

    @Override
    public void closeIdleConnections(Duration idleTimeout) {
        appendMillis(begin("reap_after").append(" for-time="), idleTimeout).append('\n');
    }

    @Override
    public void retain(Long id, Duration retention) {
        appendMillis(begin("pin", id).append(" for-time="), retention).append('\n');
    }

    @Override
    public void fail(Long id) {
        begin("report_failure", id).append('\n');
    }

    @Override
    public void stop(Long id) {
        begin("stop", id).append('\n');
    }

    @Override
    public void reject(Long id, boolean finalRejection, Duration retryAfter) {
        begin("deny", id);
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
        begin("unpin", id).append('\n');
    }

    @Override
    public void start(Long id) {
        begin("dispatch", id).append('\n');
    }

    @Override
    public void shareOutcome(Long id) {
        begin("echo", id).append('\n');
    }

    @Override
    public void callDownstream(Long id, Duration timeout) {
        appendMillis(begin("call", id).append(" give-up-after="), timeout).append('\n');
    }

    @Override
    public void skipCall(Long id) {
        begin("omit", id).append('\n');
    }

    @Override
    public void log(ControllerEvent event) {
        begin("log").append(" line=").append(WireEventText.of(event)).append('\n');
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        wakeUps++;
        Duration delay = duration(Math.max(startMs + Durations.toMillis(at) - nowMs, MIN_WAKE_UP_DELAY_MS));
        appendMillis(begin("set_alarm").append(" offset="), delay)
                .append(" handle=look")
                .append(wakeUps)
                .append('\n');
    }

    @Override
    public void release(Long id) {
        handlesById.remove(id);
    }

    /** Begins an action of this instance. */
    private StringBuilder begin(String verb) {
        return reply.append(verb).append(" who=").append(name);
    }

    /** Begins an action on a request. */
    private StringBuilder begin(String verb, Long id) {
        return begin(verb).append(" id=").append(id.longValue());
    }

    private static Outcome outcome(WireMessage event) {
        long code = event.requiredWholeNumber("code");
        if (code < 0 || code >= OUTCOMES_BY_CODE.length) {
            throw event.malformed("unknown ending " + code);
        }
        return OUTCOMES_BY_CODE[(int) code];
    }

    /** Appends milliseconds with three decimal places, truncated. */
    private static StringBuilder appendMillis(StringBuilder out, Duration duration) {
        long micros = TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
        out.append(micros / MICROS_PER_MILLI).append('.');
        // The digit before the three places keeps their leading zeros.
        String padded = Long.toString(micros % MICROS_PER_MILLI + MICROS_PER_MILLI);
        return out.append(padded, 1, padded.length());
    }
}
