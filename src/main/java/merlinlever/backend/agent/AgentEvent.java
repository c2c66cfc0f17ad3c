package merlinlever.backend.agent;

import java.util.Optional;
import merlinlever.common.json.Json;
import merlinlever.controller.Outcome;

/** An event reported by the agent. */
sealed interface AgentEvent {

    /** Parses the event on one line. */
    static AgentEvent parse(String line) throws Json.MalformedJsonException {
        return AgentEventParser.parse(line);
    }

    /** Returns the position in the agent's event log, counted from 1, or 0 for an event that is not part of the log. */
    long offset();

    /** Calls the handler method for this kind of event. */
    void dispatch(AgentConnection source, Handler handler);

    /** Handles events, with one method per kind of event. */
    interface Handler {
        /** Called when the agent is ready to receive commands on the connection. */
        void onGreeting(AgentConnection source, Greeting event);

        /** Called when a run has ended. */
        void onRunEnded(RunEnded event);

        /** Called when a run needs a downstream call and waits for the reply. */
        void onCallRequested(CallRequested event);

        /** Called when the agent answers a metrics poll. */
        void onMetricsReported(MetricsReported event);

        /** Called when the agent has completed a deep health check. */
        void onDeepCheckCompleted(DeepCheckCompleted event);

        /** Called when the agent has rejected a command. */
        void onCommandRejected(CommandRejected event);

        /** Called for a kind of event that this version does not support. */
        void onUnknown(Unknown event);
    }

    /**
     * The first event on a connection.
     *
     * @param startMode {@code COLD} if the agent started with empty caches, otherwise {@code WARM}
     * @param elapsedMs time since the agent started, in milliseconds
     */
    record Greeting(long offset, String startMode, double elapsedMs) implements AgentEvent {
        /** Returns whether the agent started with empty caches. */
        boolean isCold() {
            return "COLD".equals(startMode);
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onGreeting(source, this);
        }
    }

    /** The end of a run. */
    final class RunEnded implements AgentEvent {
        private final long offset;
        private final long requestId;
        private final Optional<Outcome> outcome;
        private final byte[] result;

        RunEnded(long offset, long requestId, Optional<Outcome> outcome, byte[] result) {
            this.offset = offset;
            this.requestId = requestId;
            this.outcome = outcome;
            this.result = result;
        }

        @Override
        public long offset() {
            return offset;
        }

        /** Returns the id of the request that was run. */
        long requestId() {
            return requestId;
        }

        /** Returns the outcome of the run, or empty if the agent did not report one. */
        Optional<Outcome> outcome() {
            return outcome;
        }

        /** Returns the response body for the caller, which may be empty. */
        byte[] result() {
            return result;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onRunEnded(this);
        }
    }

    /** A downstream call that a run needs; the run waits for the reply. */
    final class CallRequested implements AgentEvent {
        private final long offset;
        private final long requestId;
        private final byte[] body;

        CallRequested(long offset, long requestId, byte[] body) {
            this.offset = offset;
            this.requestId = requestId;
            this.body = body;
        }

        @Override
        public long offset() {
            return offset;
        }

        /** Returns the id of the request whose run waits for the reply. */
        long requestId() {
            return requestId;
        }

        /** Returns the body of the downstream call. */
        byte[] body() {
            return body;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onCallRequested(this);
        }
    }

    /** The answer to a metrics poll: gauge values in the order in which the settings list the gauges. */
    final class MetricsReported implements AgentEvent {
        private final long offset;
        private final String token;
        private final double[] gauges;

        MetricsReported(long offset, String token, double[] gauges) {
            this.offset = offset;
            this.token = token;
            this.gauges = gauges;
        }

        @Override
        public long offset() {
            return offset;
        }

        /** Returns the token of the answered poll. */
        String token() {
            return token;
        }

        /** Returns the gauge values; their number is not validated. */
        double[] gauges() {
            return gauges;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onMetricsReported(this);
        }
    }

    /**
     * The result of a deep health check.
     *
     * @param token the token of the check
     * @param succeeded whether the check succeeded
     */
    record DeepCheckCompleted(long offset, String token, boolean succeeded) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onDeepCheckCompleted(this);
        }
    }

    /**
     * The rejection of a command by the agent.
     *
     * @param command the name of the rejected command
     * @param requestId the id of the request that the command referred to
     */
    record CommandRejected(long offset, String command, long requestId) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onCommandRejected(this);
        }
    }

    /** An event of the log that does not concern this server. */
    record Unrelated(long offset) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            // Only the position in the event log matters.
        }
    }

    /** An event of a kind that this version does not support. */
    record Unknown(long offset, String kind) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onUnknown(this);
        }
    }
}
