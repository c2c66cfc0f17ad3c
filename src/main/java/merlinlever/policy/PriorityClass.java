package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.controller.settings.Settings;

/** A class of requests: its settings, and what the controller learns of it. It decides nothing. */
final class PriorityClass {
    final int index;
    /** Its requests may run any number of times. */
    final boolean idempotent;
    /** A duplicate of one of its requests is recognized by a key within {@link #idempotencyWindow}. */
    final boolean idempotentByKey;

    /** An answer after this time from arrival has {@link #lateWeight} instead of {@link #weight}. */
    final Duration latencyObjective;
    /** The deadline from arrival of a request that tells none. */
    final Duration clientTimeout;

    final Duration idempotencyWindow;
    /** By how much of its cost hint the latency objective of a request is extended. */
    final double objectiveStretch;
    /** What an answer in time is worth, compared with the other classes. */
    final double weight;

    final double lateWeight;
    /** Of an answer without the downstream call; 0: the call cannot be left out. */
    final double weightWithoutCall;
    /** Whether its runs make downstream calls. */
    final boolean makesCalls;

    final RunTimeEstimator runTimes = new RunTimeEstimator();
    /** Factor of the probability of a random rejection. Written by {@link AdmissionControl}. */
    double rejectionCoefficient = 1;

    private PriorityClass(Settings settings, int index) {
        this.index = index;
        String prefix = "tariffs." + index + ".";
        latencyObjective = settings.duration(prefix + "soft-limit", 1000);
        clientTimeout = settings.duration(prefix + "client-timeout", 2000);
        idempotencyWindow = settings.duration(prefix + "window", 10000);
        objectiveStretch = settings.number(prefix + "soft-limit-stretch", 0);
        weight = settings.number(prefix + "value", 1);
        lateWeight = settings.number(prefix + "late-value", 0);
        weightWithoutCall = Double.parseDouble(settings.listElement("server.value-without-call", index, "0"));
        makesCalls = Boolean.parseBoolean(settings.listElement("server.calls-by-tariff", index, "true"));
        String kind = settings.text(prefix + "kind", "binding");
        idempotent = kind.equals("retriable");
        idempotentByKey = kind.equals("fingerprinted");
    }

    /** All classes in the settings, in the order of their indexes. */
    static List<PriorityClass> fromSettings(Settings settings) {
        List<PriorityClass> priorityClasses = new ArrayList<>();
        for (int i = 0; settings.has("tariffs." + i + ".name"); i++) {
            priorityClasses.add(new PriorityClass(settings, i));
        }
        return priorityClasses;
    }
}
