package merlinlever.controller;

import java.time.Duration;

/**
 * One thing to do that an {@link merlinlever.policy.OverloadController} decided. The kinds stand here in the order in
 * which they are carried out within a batch; that order keeps the safety rules, such as recording an idempotency key
 * before its request starts.
 */
public sealed interface Decision {

    /** Calls the method of the visitor for this kind of decision. */
    void accept(Visitor visitor);

    /** From now on, send this value with every answer: by the settings a level, a weight or a credit. */
    record SendBackpressure(double value) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.sendBackpressure(value);
        }
    }

    /** From now on, report this health. */
    record ReportHealth(boolean healthy) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.reportHealth(healthy);
        }
    }

    /** From now on, close connections that are idle for this long. */
    record CloseIdleConnections(Duration idleTimeout) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.closeIdleConnections(idleTimeout);
        }
    }

    /** Let duplicates find the request for this long. */
    record Retain(RequestHandle request, Duration retention) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.retain(request, retention);
        }
    }

    /** Answer the request: failed. */
    record Fail(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.fail(request);
        }
    }

    /** Stop the run of the request. */
    record Stop(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.stop(request);
        }
    }

    /**
     * Answer the request: rejected, never run.
     *
     * @param isFinal whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before it retries; zero: nothing is said about that
     */
    record Reject(RequestHandle request, boolean isFinal, Duration retryAfter) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.reject(request, isFinal, retryAfter);
        }
    }

    /** Let no duplicate find the request any more. */
    record Evict(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.evict(request);
        }
    }

    /** Start the run of the request. */
    record Start(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.start(request);
        }
    }

    /** Answer the request with the outcome of the one that it duplicates. */
    record ShareOutcome(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.shareOutcome(request);
        }
    }

    /** Make the downstream call that the run waits for, and give it up after the timeout. */
    record CallDownstream(RequestHandle request, Duration timeout) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.callDownstream(request, timeout);
        }
    }

    /** Let the run continue without the downstream call that it waits for. */
    record SkipCall(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.skipCall(request);
        }
    }

    /** Write the event to the log. */
    record Log(ControllerEvent event) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.log(event);
        }
    }

    /** The handle will not be named again: forget the request. */
    record Release(RequestHandle request) implements Decision {
        @Override
        public void accept(Visitor visitor) {
            visitor.release(request);
        }
    }

    /** Has one method for each kind of decision, of the same name and with its components. */
    interface Visitor {

        /** See {@link SendBackpressure}. */
        void sendBackpressure(double value);

        /** See {@link ReportHealth}. */
        void reportHealth(boolean healthy);

        /** See {@link CloseIdleConnections}. */
        void closeIdleConnections(Duration idleTimeout);

        /** See {@link Retain}. */
        void retain(RequestHandle request, Duration retention);

        /** See {@link Fail}. */
        void fail(RequestHandle request);

        /** See {@link Stop}. */
        void stop(RequestHandle request);

        /** See {@link Reject}. */
        void reject(RequestHandle request, boolean isFinal, Duration retryAfter);

        /** See {@link Evict}. */
        void evict(RequestHandle request);

        /** See {@link Start}. */
        void start(RequestHandle request);

        /** See {@link ShareOutcome}. */
        void shareOutcome(RequestHandle request);

        /** See {@link CallDownstream}. */
        void callDownstream(RequestHandle request, Duration timeout);

        /** See {@link SkipCall}. */
        void skipCall(RequestHandle request);

        /** See {@link Log}. */
        void log(ControllerEvent event);

        /** See {@link Release}. */
        void release(RequestHandle request);
    }
}
