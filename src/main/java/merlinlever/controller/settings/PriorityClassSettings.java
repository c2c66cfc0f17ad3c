package merlinlever.controller.settings;

import java.time.Duration;
import merlinlever.common.Durations;

/**
 * Settings of one priority class.
 *
 * @param name the name that requests refer to
 * @param semantics how often a request of the class may run
 * @param latencyObjective the time from arrival after which an answer has the late weight
 * @param clientTimeout the time from arrival to the deadline of a request without a deadline of its own
 * @param idempotencyWindow how long duplicates of a request are recognized
 * @param objectiveStretch the fraction of a request's cost hint by which its latency objective is extended
 * @param weight the weight of an answer in time, relative to the other classes
 * @param lateWeight the weight of a late answer
 * @param weightWithoutCall the weight of an answer without the downstream call; 0 if the call cannot be skipped
 * @param makesCalls whether runs of the class make downstream calls
 */
public record PriorityClassSettings(
        String name,
        RequestSemantics semantics,
        Duration latencyObjective,
        Duration clientTimeout,
        Duration idempotencyWindow,
        double objectiveStretch,
        double weight,
        double lateWeight,
        double weightWithoutCall,
        boolean makesCalls) {

    /** Whether a request of the class may run any number of times. */
    public boolean isIdempotent() {
        return semantics == RequestSemantics.IDEMPOTENT;
    }

    /** Whether requests of the class carry an idempotency key. */
    public boolean isIdempotentByKey() {
        return semantics == RequestSemantics.IDEMPOTENT_BY_KEY;
    }

    /** Returns a builder of a class with the name and otherwise the defaults. */
    public static Builder named(String name) {
        return new Builder(name);
    }

    /** Returns a builder with the values of this class. */
    public Builder toBuilder() {
        Builder builder = new Builder(name);
        builder.semantics = semantics;
        builder.latencyObjective = latencyObjective;
        builder.clientTimeout = clientTimeout;
        builder.idempotencyWindow = idempotencyWindow;
        builder.objectiveStretch = objectiveStretch;
        builder.weight = weight;
        builder.lateWeight = lateWeight;
        builder.weightWithoutCall = weightWithoutCall;
        builder.makesCalls = makesCalls;
        return builder;
    }

    /** Builder of a priority class; each method sets the record component of its name. */
    public static final class Builder {
        private final String name;
        private RequestSemantics semantics = RequestSemantics.NON_IDEMPOTENT;
        private Duration latencyObjective = defaultDuration(ClassNumberSetting.LATENCY_OBJECTIVE);
        private Duration clientTimeout = defaultDuration(ClassNumberSetting.CLIENT_TIMEOUT);
        private Duration idempotencyWindow = defaultDuration(ClassNumberSetting.IDEMPOTENCY_WINDOW);
        private double objectiveStretch = ClassNumberSetting.OBJECTIVE_STRETCH.defaultValue();
        private double weight = ClassNumberSetting.WEIGHT.defaultValue();
        private double lateWeight = ClassNumberSetting.LATE_WEIGHT.defaultValue();
        private double weightWithoutCall;
        private boolean makesCalls = true;

        private Builder(String name) {
            this.name = name;
        }

        private static Duration defaultDuration(ClassNumberSetting setting) {
            return Durations.ofMillis(setting.defaultValue());
        }

        /** Sets how often a request of the class may run. */
        public Builder semantics(RequestSemantics value) {
            semantics = value;
            return this;
        }

        /** Sets the time from arrival after which an answer has the late weight. */
        public Builder latencyObjective(Duration value) {
            latencyObjective = value;
            return this;
        }

        /** Sets the time from arrival to the deadline of a request without a deadline of its own. */
        public Builder clientTimeout(Duration value) {
            clientTimeout = value;
            return this;
        }

        /** Sets how long duplicates of a request are recognized. */
        public Builder idempotencyWindow(Duration value) {
            idempotencyWindow = value;
            return this;
        }

        /** Sets the fraction of the cost hint by which the latency objective is extended. */
        public Builder objectiveStretch(double value) {
            objectiveStretch = value;
            return this;
        }

        /** Sets the weight of an answer in time. */
        public Builder weight(double value) {
            weight = value;
            return this;
        }

        /** Sets the weight of a late answer. */
        public Builder lateWeight(double value) {
            lateWeight = value;
            return this;
        }

        /** Sets the weight of an answer without the downstream call. */
        public Builder weightWithoutCall(double value) {
            weightWithoutCall = value;
            return this;
        }

        /** Sets whether runs of the class make downstream calls. */
        public Builder makesCalls(boolean value) {
            makesCalls = value;
            return this;
        }

        /** Builds the class. */
        public PriorityClassSettings build() {
            return new PriorityClassSettings(
                    name,
                    semantics,
                    latencyObjective,
                    clientTimeout,
                    idempotencyWindow,
                    objectiveStretch,
                    weight,
                    lateWeight,
                    weightWithoutCall,
                    makesCalls);
        }
    }
}
