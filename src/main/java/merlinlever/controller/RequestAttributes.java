package merlinlever.controller;

import java.time.Duration;
import java.util.Optional;

/**
 * Attributes of a request at its submission.
 *
 * @param priorityClass the index of its priority class in the settings
 * @param readDelay the time from the arrival of the request until its read
 * @param deadline when the caller stops waiting, relative to the start of the server; empty if the caller sent none
 * @param memoryKb the memory of the queued request, in kB
 * @param costHint the caller's estimate of the run time
 * @param retry whether the caller marked the request as a retry
 * @param shareable whether the request is a read with a subject, whose outcome other reads of the subject may share
 * @param original the earlier request that this one duplicates
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

    /** Returns a builder for a request of the class, with all other attributes zero, false or empty. */
    public static Builder ofClass(int priorityClass) {
        return new Builder(priorityClass);
    }

    /** Builder of the attributes of a request; each method sets the record component of its name. */
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

        /** Sets the read delay; the default is zero. */
        public Builder readDelay(Duration value) {
            readDelay = value;
            return this;
        }

        /** Sets the deadline, relative to the start of the server; the default is none. */
        public Builder deadline(Optional<Duration> value) {
            deadline = value;
            return this;
        }

        /** Sets the memory in kB; the default is 0. */
        public Builder memoryKb(double value) {
            memoryKb = value;
            return this;
        }

        /** Sets the cost hint; the default is none. */
        public Builder costHint(Optional<Duration> value) {
            costHint = value;
            return this;
        }

        /** Sets the retry mark; the default is false. */
        public Builder retry(boolean value) {
            retry = value;
            return this;
        }

        /** Sets whether the outcome may be shared; the default is false. */
        public Builder shareable(boolean value) {
            shareable = value;
            return this;
        }

        /** Sets the original; the default is none. */
        public Builder original(Optional<RequestHandle> value) {
            original = value;
            return this;
        }

        /** Builds the attributes. */
        public RequestAttributes build() {
            return new RequestAttributes(
                    priorityClass, readDelay, deadline, memoryKb, costHint, retry, shareable, original);
        }
    }
}
