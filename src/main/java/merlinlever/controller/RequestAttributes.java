package merlinlever.controller;

import java.time.Duration;
import java.util.Optional;

/**
 * What is known of a request when it is submitted.
 *
 * @param priorityClass the index of its priority class in the settings
 * @param readDelay how long it has waited since it arrived until it was read
 * @param deadline when its caller gives up, since the start of the server; empty where the caller does not tell
 * @param memoryKb the memory that it takes while it is queued, in kB
 * @param costHint the caller's estimate of its run time
 * @param retry whether its caller marked it as a retry
 * @param shareable whether it is a read that names its subject, so that others of that subject may share its outcome
 * @param original the earlier request that it duplicates
 */
public record RequestAttributes(
        int priorityClass,
        Duration readDelay,
        Optional<Duration> deadline,
        double memoryKb,
        Optional<Duration> costHint,
        boolean retry,
        boolean shareable,
        Optional<RequestHandle> original) {

    /** Starts with a request of that class without read delay, memory or anything optional. */
    public static Builder ofClass(int priorityClass) {
        return new Builder(priorityClass);
    }

    /** Collects the attributes of one request; see the components for their meaning. */
    public static final class Builder {
        private final int priorityClass;
        private Duration readDelay = Duration.ZERO;
        private Optional<Duration> deadline = Optional.empty();
        private double memoryKb;
        private Optional<Duration> costHint = Optional.empty();
        private boolean retry;
        private boolean shareable;
        private Optional<RequestHandle> original = Optional.empty();

        private Builder(int priorityClass) {
            this.priorityClass = priorityClass;
        }

        /** Since its arrival; zero unless set. */
        public Builder readDelay(Duration value) {
            readDelay = value;
            return this;
        }

        /** Since the start of the server; none unless set. */
        public Builder deadline(Optional<Duration> value) {
            deadline = value;
            return this;
        }

        /** In kB; zero unless set. */
        public Builder memoryKb(double value) {
            memoryKb = value;
            return this;
        }

        /** None unless set. */
        public Builder costHint(Optional<Duration> value) {
            costHint = value;
            return this;
        }

        /** False unless set. */
        public Builder retry(boolean value) {
            retry = value;
            return this;
        }

        /** False unless set. */
        public Builder shareable(boolean value) {
            shareable = value;
            return this;
        }

        /** None unless set. */
        public Builder original(Optional<RequestHandle> value) {
            original = value;
            return this;
        }

        /** The attributes as set. */
        public RequestAttributes build() {
            return new RequestAttributes(
                    priorityClass, readDelay, deadline, memoryKb, costHint, retry, shareable, original);
        }
    }
}
