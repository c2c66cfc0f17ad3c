package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;

/** A priority class of requests: its settings and the controller's estimates for the class. */
final class PriorityClass {
    private final int index;
    private final PriorityClassSettings settings;
    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private double rejectionCoefficient = 1;

    private PriorityClass(PriorityClassSettings settings, int index) {
        this.index = index;
        this.settings = settings;
    }

    /** Returns all classes of the settings, in the order of their indexes. */
    static List<PriorityClass> fromSettings(ControllerSettings settings) {
        List<PriorityClass> priorityClasses = new ArrayList<>();
        for (PriorityClassSettings classSettings : settings.priorityClasses()) {
            priorityClasses.add(new PriorityClass(classSettings, priorityClasses.size()));
        }
        return priorityClasses;
    }

    int index() {
        return index;
    }

    /** Whether a request of the class may run any number of times. */
    boolean isIdempotent() {
        return settings.isIdempotent();
    }

    /** Whether duplicates are recognized by their idempotency key, within {@link #idempotencyWindow}. */
    boolean isIdempotentByKey() {
        return settings.isIdempotentByKey();
    }

    /** Returns the time from arrival after which an answer has {@link #lateWeight}, not {@link #weight}. */
    Duration latencyObjective() {
        return settings.latencyObjective();
    }

    /** Returns the time from arrival to the deadline of a request without a deadline of its own. */
    Duration clientTimeout() {
        return settings.clientTimeout();
    }

    Duration idempotencyWindow() {
        return settings.idempotencyWindow();
    }

    /** Returns the fraction of a request's cost hint by which its latency objective is extended. */
    double objectiveStretch() {
        return settings.objectiveStretch();
    }

    /** Returns the weight of an answer in time, relative to the other classes. */
    double weight() {
        return settings.weight();
    }

    double lateWeight() {
        return settings.lateWeight();
    }

    /** Returns the weight of an answer without the downstream call; 0 if the call cannot be skipped. */
    double weightWithoutCall() {
        return settings.weightWithoutCall();
    }

    /** Whether runs of the class make downstream calls. */
    boolean makesCalls() {
        return settings.makesCalls();
    }

    RunTimeEstimator runTimes() {
        return runTimes;
    }

    /** Returns the factor of the probability of a random rejection, set by {@link AdmissionControl}. */
    double rejectionCoefficient() {
        return rejectionCoefficient;
    }

    void setRejectionCoefficient(double coefficient) {
        rejectionCoefficient = coefficient;
    }
}
