package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;

/** A class of requests: its settings, and what the controller learns of it. It decides nothing. */
final class PriorityClass {
    private final int index;
    private final PriorityClassSettings settings;
    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private double rejectionCoefficient = 1;

    private PriorityClass(PriorityClassSettings settings, int index) {
        this.index = index;
        this.settings = settings;
    }

    /** All classes in the settings, in the order of their indexes. */
    static List<PriorityClass> fromSettings(ControllerSettings settings) {
        List<PriorityClass> priorityClasses = new ArrayList<>();
        for (PriorityClassSettings each : settings.priorityClasses()) {
            priorityClasses.add(new PriorityClass(each, priorityClasses.size()));
        }
        return priorityClasses;
    }

    int index() {
        return index;
    }

    /** Whether its requests may run any number of times. */
    boolean isIdempotent() {
        return settings.isIdempotent();
    }

    /** Whether a duplicate is recognized by a key within {@link #idempotencyWindow}. */
    boolean isIdempotentByKey() {
        return settings.isIdempotentByKey();
    }

    /** An answer after this time from arrival has {@link #lateWeight} instead of {@link #weight}. */
    Duration latencyObjective() {
        return settings.latencyObjective();
    }

    /** The deadline from arrival of a request that tells none. */
    Duration clientTimeout() {
        return settings.clientTimeout();
    }

    Duration idempotencyWindow() {
        return settings.idempotencyWindow();
    }

    /** By how much of its cost hint the latency objective of a request is extended. */
    double objectiveStretch() {
        return settings.objectiveStretch();
    }

    /** What an answer in time is worth, compared with the other classes. */
    double weight() {
        return settings.weight();
    }

    double lateWeight() {
        return settings.lateWeight();
    }

    /** Of an answer without the downstream call; 0: the call cannot be left out. */
    double weightWithoutCall() {
        return settings.weightWithoutCall();
    }

    /** Whether its runs make downstream calls. */
    boolean makesCalls() {
        return settings.makesCalls();
    }

    RunTimeEstimator runTimes() {
        return runTimes;
    }

    /** Factor of the probability of a random rejection, set by {@link AdmissionControl}. */
    double rejectionCoefficient() {
        return rejectionCoefficient;
    }

    void setRejectionCoefficient(double coefficient) {
        rejectionCoefficient = coefficient;
    }
}
