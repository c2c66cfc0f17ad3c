package merlinlever;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.policy.OverloadController;

/** A module with what is stated at start, a clock, and short words for what the tests do to it. */
final class ControllerFixture {

    static final int LOOKUP = 0;
    static final int CHARGE = 1;
    static final int ORDER = 2;
    static final int CALLING = 3;

    final Map<String, String> given = new HashMap<>(Map.of(
            "server.cores",
            "8",
            "server.memory-kb",
            "100000",
            "server.run-factor",
            "4",
            "server.halt",
            "drop",
            "server.gauges",
            "busy,run-queue",
            "server.calls-by-tariff",
            "false,false,false,true",
            "rules.crowd-factor",
            "4",
            "rules.drain-grace",
            "2000",
            "server.kb-per-fingerprint",
            "100",
            "limits.longest-stay-away",
            "1000"));
    long seed = 7;
    Duration now = Duration.ZERO;
    Decisions last = new Decisions();
    Duration closeIdle;
    private OverloadController control;

    ControllerFixture() {
        given.put("limits.stay-away", "true");
        tariff(LOOKUP, "retriable", 1);
        tariff(CHARGE, "fingerprinted", 4);
        tariff(ORDER, "binding", 4);
        tariff(CALLING, "fingerprinted", 4);
    }

    private void tariff(int index, String kind, double value) {
        String at = "tariffs." + index + ".";
        given.putAll(Map.of(
                at + "name",
                "t" + index,
                at + "kind",
                kind,
                at + "value",
                "" + value,
                at + "soft-limit",
                "1000",
                at + "client-timeout",
                "3000",
                at + "window",
                "10000"));
    }

    ControllerFixture with(String name, Object value) {
        given.put(name, "" + value);
        return this;
    }

    OverloadController control() {
        if (control == null) {
            control = new OverloadController(given, seed);
        }
        return control;
    }

    RequestHandle take(int tariff) {
        return take(tariff, 0, 10, null);
    }

    RequestHandle take(int tariff, double unreadMs, double kb, RequestHandle repeats) {
        return control().submit(now, tariff, millis(unreadMs), null, kb, null, repeats != null, true, repeats);
    }

    /** A marked further try of which nothing is known here. */
    RequestHandle again(int tariff) {
        return control().submit(now, tariff, millis(0), null, 10, null, true, true, null);
    }

    Decisions settle() {
        last = control().decide(now);
        closeIdle = last.idleConnectionTimeout == null ? closeIdle : last.idleConnectionTimeout;
        return last;
    }

    Decisions after(double ms) {
        now = now.plus(millis(ms));
        return settle();
    }

    /** Runs one lookup to its end, over and over, so that the module learns what it can do. */
    ControllerFixture warmedUp(int rounds, double runMs) {
        for (int i = 0; i < rounds; i++) {
            List<RequestHandle> started = new ArrayList<>();
            started.add(take(LOOKUP));
            started.add(take(LOOKUP));
            settle();
            now = now.plus(millis(runMs));
            started.forEach(o -> o.runEnded(now, Outcome.OK));
            control().updateGauges(now, new double[] {0, 0});
            settle();
        }
        return this;
    }

    /** Runs an order on every core. */
    List<RequestHandle> full() {
        List<RequestHandle> running = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            running.add(take(ORDER));
            settle();
        }
        control().updateGauges(now, new double[] {1, 8});
        return running;
    }

    boolean pushedBack(RequestHandle operation) {
        return last.rejected.stream().anyMatch(p -> p.request() == operation);
    }

    static double ms(Duration span) {
        return span.toNanos() / 1e6;
    }

    static Duration millis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }
}
