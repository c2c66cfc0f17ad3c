package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Settings;

/** A tariff: what is stated of it, and what the module keeps of it. Nothing is decided here. */
final class PriorityClass {
    final boolean retriable, fingerprinted;
    final int index;
    final Duration softLimit, clientTimeout, window;
    final double stretch, value, lateValue, withoutCall;
    final boolean calls;
    final RunTimeEstimator times = new RunTimeEstimator();
    /** Its weight in the chance of refusal. */
    double coefficient = 1;

    private PriorityClass(Settings given, int index) {
        String at = "tariffs." + index + ".";
        this.index = index;
        softLimit = given.duration(at + "soft-limit", 1000);
        clientTimeout = given.duration(at + "client-timeout", 2000);
        window = given.duration(at + "window", 10000);
        stretch = given.number(at + "soft-limit-stretch", 0);
        value = given.number(at + "value", 1);
        lateValue = given.number(at + "late-value", 0);
        withoutCall = Double.parseDouble(given.listElement("server.value-without-call", index, "0"));
        calls = Boolean.parseBoolean(given.listElement("server.calls-by-tariff", index, "true"));
        String kind = given.text(at + "kind", "binding");
        retriable = kind.equals("retriable");
        fingerprinted = kind.equals("fingerprinted");
    }

    /** All that are stated. */
    static List<PriorityClass> all(Settings given) {
        List<PriorityClass> tariffs = new ArrayList<>();
        for (int i = 0; given.has("tariffs." + i + ".name"); i++) {
            tariffs.add(new PriorityClass(given, i));
        }
        return tariffs;
    }
}
