package merlinlever.wire;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import merlinlever.Control;
import merlinlever.Ending;
import merlinlever.Operation;
import merlinlever.Settled;

/** One decision module and the ids by which the wire knows what it holds. */
final class Instance {

    /** Stands for an operation that the wire names and that is no longer known here. */
    private static final Operation UNKNOWN = new Operation() {
        @Override public void ended(Duration now, Ending how) {
        }

        @Override public void reachedCall(Duration now) {
        }

        @Override public void callEnded(Duration now, Ending how, Duration took) {
        }

        @Override public void callerGone(Duration now) {
        }
    };

    private final String name;
    private final double startedAt;
    private final Control control;
    private final Map<Long, Operation> byId = new HashMap<>();
    private final Map<Operation, Long> ids = new IdentityHashMap<>();
    private final Map<String, Integer> tariffs;
    private final Map<String, Integer> tenants;
    private double alarmAt = Double.POSITIVE_INFINITY;
    private long alarms;

    Instance(Line line, double now) {
        name = line.needed("who");
        startedAt = now;
        Map<String, String> given = Vocabulary.translate(line.all());
        tariffs = names(given, "tariffs");
        tenants = names(given, "tenants");
        control = new Control(given, line.whole("entropy", 0));
    }

    private static Map<String, Integer> names(Map<String, String> given, String list) {
        Map<String, Integer> indices = new HashMap<>();
        for (int i = 0; given.containsKey(list + "." + i + ".name"); i++) {
            indices.put(given.get(list + "." + i + ".name"), i);
        }
        return indices;
    }

    private Duration sinceStart(double now) {
        return span(now - startedAt);
    }

    private static Duration span(double ms) {
        return Duration.ofNanos(Math.round(ms * 1e6));
    }

    void tell(Line line, double at) {
        Duration now = sinceStart(at);
        switch (line.word()) {
            case "req" -> take(line, now);
            case "completed" -> operation(line).ended(now, Vocabulary.ending(line));
            case "at_call" -> operation(line).reachedCall(now);
            case "downstream" -> operation(line).callEnded(now, Vocabulary.ending(line),
                    span(line.number("cost-time", 0)));
            case "withdrawn" -> operation(line).callerGone(now);
            case "drain" -> control.leave(now, sinceStart(line.neededNumber("not-after")));
            case "timeout_fired" -> {
                if (line.needed("handle").equals("look" + alarms)) {
                    alarmAt = Double.POSITIVE_INFINITY;
                }
                control.look(now, line.row("report"));
            }
            default -> throw line.fault("unknown event " + line.word());
        }
    }

    private Operation operation(Line line) {
        return byId.getOrDefault(line.neededWhole("id"), UNKNOWN);
    }

    private void take(Line line, Duration now) {
        Long id = line.neededWhole("id");
        Integer tariff = tariffs.get(line.needed("kind"));
        if (tariff == null) {
            throw line.fault("unknown kind " + line.text("kind"));
        }
        double leaves = line.number("not-after", 0);
        double work = line.number("work", 0);
        long repeats = line.whole("same-as", 0);
        String tenant = line.text("org");
        Operation taken = control.take(now, tariff, span(line.number("unread-for", 0)),
                leaves == 0 ? null : sinceStart(leaves), line.number("size-kb", 0), work == 0 ? null : span(work),
                tenant == null ? -1 : tenants.getOrDefault(tenant, -1),
                line.flag("resent"),
                line.text("name-key") != null && !line.flag("write"),
                repeats == 0 ? null : byId.getOrDefault(repeats, UNKNOWN));
        byId.put(id, taken);
        ids.put(taken, id);
    }

    /** Appends what the module decides, always in the same order, which is the one that the wire's rules allow. */
    void settle(double now, StringBuilder out) {
        Settled settled = control.settle(sinceStart(now));
        if (!Double.isNaN(settled.level)) {
            action(out, "announce").append(" amount=").append(settled.level).append('\n');
        }
        if (settled.healthy != null) {
            action(out, "report_health").append(settled.healthy ? " on=1" : " on=0").append(" from-state=1\n");
        }
        if (settled.closeIdle != null) {
            ms(action(out, "reap_after").append(" for-time="), settled.closeIdle).append('\n');
        }
        for (Settled.Timed kept : settled.kept) {
            ms(about(out, "pin", kept.operation()).append(" for-time="), kept.span()).append('\n');
        }
        each(out, "report_failure", settled.brokenOff);
        each(out, "stop", settled.halted);
        for (Settled.Pushback pushback : settled.pushedBack) {
            about(out, "deny", pushback.operation());
            if (pushback.nowhereElse()) {
                out.append(" final=1");
            }
            if (!pushback.stayAway().isZero()) {
                ms(out.append(" hold-off="), pushback.stayAway());
            }
            out.append('\n');
        }
        each(out, "unpin", settled.forgotten);
        each(out, "dispatch", settled.started);
        each(out, "echo", settled.shared);
        for (Settled.Timed call : settled.called) {
            ms(about(out, "call", call.operation()).append(" give-up-after="), call.span()).append('\n');
        }
        each(out, "omit", settled.omitted);
        for (String text : settled.log) {
            action(out, "log").append(" line=").append(text).append('\n');
        }
        alarm(settled.nextLook, now, out);
        for (Operation released : settled.released) {
            byId.remove(ids.remove(released));
        }
    }

    private void alarm(Duration nextLook, double now, StringBuilder out) {
        if (nextLook == null) {
            return;
        }
        double at = startedAt + nextLook.toNanos() / 1e6;
        if (at < alarmAt) {
            alarmAt = at;
            alarms++;
            ms(action(out, "set_alarm").append(" offset="), span(Math.max(at - now, 0.001)))
                    .append(" handle=look").append(alarms).append('\n');
        }
    }

    private StringBuilder action(StringBuilder out, String word) {
        return out.append(word).append(" who=").append(name);
    }

    private StringBuilder about(StringBuilder out, String word, Operation operation) {
        return action(out, word).append(" id=").append(ids.get(operation).longValue());
    }

    private void each(StringBuilder out, String word, Iterable<Operation> operations) {
        for (Operation operation : operations) {
            about(out, word, operation).append('\n');
        }
    }

    private static StringBuilder ms(StringBuilder out, Duration span) {
        long micros = span.toNanos() / 1000;
        out.append(micros / 1000).append('.');
        return out.append(Long.toString(micros % 1000 + 1000), 1, 4);
    }
}
