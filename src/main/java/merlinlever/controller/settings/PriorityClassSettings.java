package merlinlever.controller.settings;

import java.time.Duration;
import merlinlever.common.Durations;

/**
 * One priority class.
 *
 * @param name as requests name it
 * @param semantics how often its requests may run
 * @param latencyObjective an answer after this time from arrival has the late weight
 * @param clientTimeout the deadline from arrival of a request that tells none
 * @param idempotencyWindow how long a duplicate of one of its requests is recognized
 * @param objectiveStretch by how much of its cost hint the latency objective of a request is extended
 * @param weight what an answer in time is worth, compared with the other classes
 * @param lateWeight what a late answer is worth
 * @param weightWithoutCall what an answer without the downstream call is worth; 0: the call cannot be left out
 * @param makesCalls whether its runs make downstream calls
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

    /** Whether its requests may run any number of times. */
    public boolean isIdempotent() {
        return semantics == RequestSemantics.IDEMPOTENT;
    }

    /** Whether its requests carry an idempotency key. */
    public boolean isIdempotentByKey() {
        return semantics == RequestSemantics.IDEMPOTENT_BY_KEY;
    }

    /** A class of this name with the defaults of all other settings. */
    public static Builder named(String name) {
        return new Builder(name);
    }

    /** A builder with the values of this class. */
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

    /** Sets one value after the other; each is described at the record's component of its name. */
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

        /** How often requests of the class may run. */
        public Builder semantics(RequestSemantics value) {
            semantics = value;
            return this;
        }

        /** The time from arrival to an answer of full weight. */
        public Builder latencyObjective(Duration value) {
            latencyObjective = value;
            return this;
        }

        /** The deadline of requests that tell none. */
        public Builder clientTimeout(Duration value) {
            clientTimeout = value;
            return this;
        }

        /** How long a duplicate is recognized. */
        public Builder idempotencyWindow(Duration value) {
            idempotencyWindow = value;
            return this;
        }

        /** The part of the cost hint that extends the latency objective. */
        public Builder objectiveStretch(double value) {
            objectiveStretch = value;
            return this;
        }

        /** The weight of an answer in time. */
        public Builder weight(double value) {
            weight = value;
            return this;
        }

        /** The weight of a late answer. */
        public Builder lateWeight(double value) {
            lateWeight = value;
            return this;
        }

        /** The weight of an answer without the downstream call. */
        public Builder weightWithoutCall(double value) {
            weightWithoutCall = value;
            return this;
        }

        /** Whether runs make downstream calls. */
        public Builder makesCalls(boolean value) {
            makesCalls = value;
            return this;
        }

        /** The class with these values. */
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
