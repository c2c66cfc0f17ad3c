package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;

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

    private PriorityClass(PriorityClassSettings settings, int index) {
        this.index = index;
        latencyObjective = settings.latencyObjective();
        clientTimeout = settings.clientTimeout();
        idempotencyWindow = settings.idempotencyWindow();
        objectiveStretch = settings.objectiveStretch();
        weight = settings.weight();
        lateWeight = settings.lateWeight();
        weightWithoutCall = settings.weightWithoutCall();
        makesCalls = settings.makesCalls();
        idempotent = settings.isIdempotent();
        idempotentByKey = settings.isIdempotentByKey();
    }

    /** All classes in the settings, in the order of their indexes. */
    static List<PriorityClass> fromSettings(ControllerSettings settings) {
        List<PriorityClass> priorityClasses = new ArrayList<>();
        for (PriorityClassSettings each : settings.priorityClasses()) {
            priorityClasses.add(new PriorityClass(each, priorityClasses.size()));
        }
        return priorityClasses;
    }
}
