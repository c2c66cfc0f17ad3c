package merlinlever.wire;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import merlinlever.ControllerEvent;
import merlinlever.Outcome;
import merlinlever.RequestAttributes;
import merlinlever.RequestHandle;
import merlinlever.core.ControllerDriver;
import merlinlever.core.DecisionHandler;
import merlinlever.core.SettingsTranslator;

/** One decision module and the ids by which the wire knows what it holds. */
final class ControllerInstance implements DecisionHandler<Long> {

    private static final Outcome[] ENDINGS = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMED_OUT,
        Outcome.UNREACHABLE,
        Outcome.CONNECTION_LOST,
        Outcome.STOPPED,
        Outcome.NOT_STARTED
    };

    private final String name;
    private final double startedAt;
    private final ControllerDriver<Long> conductor;
    private final Map<Long, RequestHandle> byId = new HashMap<>();
    private long alarms;
    private double now;
    private StringBuilder out;

    ControllerInstance(WireMessage line, double now) {
        name = line.needed("who");
        startedAt = now;
        Map<String, String> stated = new HashMap<>();
        for (String pair : line.all().split(" ")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                stated.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        conductor = new ControllerDriver<>(SettingsTranslator.translate(stated), line.whole("entropy", 0), this);
    }

    private Duration sinceStart(double now) {
        return span(now - startedAt);
    }

    private static Duration span(double ms) {
        return Duration.ofNanos(Math.round(ms * 1e6));
    }

    void tell(WireMessage line, double at) {
        Duration now = sinceStart(at);
        switch (line.word()) {
            case "req" -> take(line, now);
            case "completed" -> operation(line).runEnded(now, ending(line));
            case "at_call" -> operation(line).callNeeded(now);
            case "downstream" -> operation(line).callEnded(now, ending(line), span(line.number("cost-time", 0)));
            case "withdrawn" -> operation(line).callerGone(now);
            case "drain" -> conductor.control().startDrain(now, sinceStart(line.neededNumber("not-after")));
            case "timeout_fired" -> {
                if (line.needed("handle").equals("look" + alarms)) {
                    conductor.alarmed();
                }
                conductor.control().updateGauges(now, line.row("report"));
            }
            default -> throw line.fault("unknown event " + line.word());
        }
    }

    private RequestHandle operation(WireMessage line) {
        return byId.getOrDefault(line.neededWhole("id"), ControllerDriver.UNKNOWN);
    }

    private void take(WireMessage line, Duration now) {
        Long id = line.neededWhole("id");
        int tariff = conductor.tariff(line.needed("kind"));
        if (tariff < 0) {
            throw line.fault("unknown kind " + line.text("kind"));
        }
        double leaves = line.number("not-after", 0);
        double work = line.number("work", 0);
        long repeats = line.whole("same-as", 0);
        RequestHandle taken = conductor
                .control()
                .submit(
                        now,
                        RequestAttributes.ofClass(tariff)
                                .readDelay(span(line.number("unread-for", 0)))
                                .deadline(leaves == 0 ? Optional.empty() : Optional.of(sinceStart(leaves)))
                                .memoryKb(line.number("size-kb", 0))
                                .costHint(work == 0 ? Optional.empty() : Optional.of(span(work)))
                                .retry(line.flag("resent"))
                                .shareable(line.text("name-key") != null && !line.flag("write"))
                                .original(original(repeats))
                                .build());
        byId.put(id, conductor.know(taken, id));
    }

    private Optional<RequestHandle> original(long id) {
        return id == 0 ? Optional.empty() : Optional.of(byId.getOrDefault(id, ControllerDriver.UNKNOWN));
    }

    /** Appends what the module decides. */
    void settle(double now, StringBuilder out) {
        this.now = now;
        this.out = out;
        conductor.settle(sinceStart(now));
    }

    @Override
    public void level(double level) {
        action("announce").append(" amount=").append(level).append('\n');
    }

    @Override
    public void health(boolean good) {
        action("report_health").append(good ? " on=1" : " on=0").append(" from-state=1\n");
    }

    @Override
    public void closeIdle(Duration after) {
        ms(action("reap_after").append(" for-time="), after).append('\n');
    }

    @Override
    public void keep(Long id, Duration span) {
        ms(about("pin", id).append(" for-time="), span).append('\n');
    }

    @Override
    public void breakOff(Long id) {
        about("report_failure", id).append('\n');
    }

    @Override
    public void halt(Long id) {
        about("stop", id).append('\n');
    }

    @Override
    public void pushBack(Long id, boolean nowhereElse, Duration stayAway) {
        about("deny", id);
        if (nowhereElse) {
            out.append(" final=1");
        }
        if (!stayAway.isZero()) {
            ms(out.append(" hold-off="), stayAway);
        }
        out.append('\n');
    }

    @Override
    public void forget(Long id) {
        about("unpin", id).append('\n');
    }

    @Override
    public void start(Long id) {
        about("dispatch", id).append('\n');
    }

    @Override
    public void share(Long id) {
        about("echo", id).append('\n');
    }

    @Override
    public void call(Long id, Duration giveUpAfter) {
        ms(about("call", id).append(" give-up-after="), giveUpAfter).append('\n');
    }

    @Override
    public void omit(Long id) {
        about("omit", id).append('\n');
    }

    @Override
    public void log(ControllerEvent event) {
        action("log").append(" line=").append(WireEventText.of(event)).append('\n');
    }

    @Override
    public void alarm(Duration at) {
        alarms++;
        ms(action("set_alarm").append(" offset="), span(Math.max(startedAt + at.toNanos() / 1e6 - now, 0.001)))
                .append(" handle=look")
                .append(alarms)
                .append('\n');
    }

    @Override
    public void release(Long id) {
        byId.remove(id);
    }

    private StringBuilder action(String word) {
        return out.append(word).append(" who=").append(name);
    }

    private StringBuilder about(String word, Long id) {
        return action(word).append(" id=").append(id.longValue());
    }

    private static Outcome ending(WireMessage line) {
        long code = line.neededWhole("code");
        if (code < 0 || code >= ENDINGS.length) {
            throw line.fault("unknown ending " + code);
        }
        return ENDINGS[(int) code];
    }

    private static StringBuilder ms(StringBuilder out, Duration span) {
        long micros = span.toNanos() / 1000;
        out.append(micros / 1000).append('.');
        return out.append(Long.toString(micros % 1000 + 1000), 1, 4);
    }
}
