package merlinlever.backend.agent;

import java.util.Optional;
import merlinlever.common.json.Json;
import merlinlever.controller.Outcome;

/** One event that the agent reports. */
sealed interface AgentEvent {

    /** Reads the event on one line. */
    static AgentEvent parse(String line) throws Json.MalformedJsonException {
        return AgentEventParser.parse(line);
    }

    /** Position in the agent's event log, counted from 1; 0 for events that are not part of the log. */
    long offset();

    /** Calls the handler's method for this kind of event. */
    void dispatch(AgentConnection source, Handler handler);

    /** Receives events by kind. */
    interface Handler {
        /** The agent accepts commands on the connection from now on. */
        void onGreeting(AgentConnection source, Greeting event);

        /** A run has ended. */
        void onRunEnded(RunEnded event);

        /** A run waits for the reply to a downstream call. */
        void onCallRequested(CallRequested event);

        /** The answer to a request for the gauges. */
        void onSampled(Sampled event);

        /** The answer to a deep health check. */
        void onExercised(Exercised event);

        /** The agent rejected a command. */
        void onCommandRefused(CommandRefused event);

        /** A kind of event that this version does not know. */
        void onUnknown(Unknown event);
    }

    /**
     * The first event on a connection.
     *
     * @param startMode {@code COLD} or {@code WARM}: whether the agent started with empty caches
     * @param elapsedMs milliseconds since the agent started
     */
    record Greeting(long offset, String startMode, double elapsedMs) implements AgentEvent {
        /** Whether the agent started with empty caches. */
        boolean isCold() {
            return "COLD".equals(startMode);
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onGreeting(source, this);
        }
    }

    /** A run has ended. */
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

        /** The request that was run. */
        long requestId() {
            return requestId;
        }

        /** How it ended; empty where the agent did not say. */
        Optional<Outcome> outcome() {
            return outcome;
        }

        /** The bytes for the caller; empty where there are none. */
        byte[] result() {
            return result;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onRunEnded(this);
        }
    }

    /** A run waits for the reply to a downstream call. */
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

        /** The request whose run waits. */
        long requestId() {
            return requestId;
        }

        /** The body of the call. */
        byte[] body() {
            return body;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onCallRequested(this);
        }
    }

    /** The gauges, in the order of the setting that lists them. */
    final class Sampled implements AgentEvent {
        private final long offset;
        private final String token;
        private final double[] gauges;

        Sampled(long offset, String token, double[] gauges) {
            this.offset = offset;
            this.token = token;
            this.gauges = gauges;
        }

        @Override
        public long offset() {
            return offset;
        }

        /** The token of the question. */
        String token() {
            return token;
        }

        /** The values; any number of them. */
        double[] gauges() {
            return gauges;
        }

        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onSampled(this);
        }
    }

    /**
     * The answer to a deep health check.
     *
     * @param token of the question
     * @param succeeded whether the work was done
     */
    record Exercised(long offset, String token, boolean succeeded) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onExercised(this);
        }
    }

    /**
     * The agent rejected a command.
     *
     * @param command the command's name
     * @param requestId the request that it was for
     */
    record CommandRefused(long offset, String command, long requestId) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onCommandRefused(this);
        }
    }

    /** An event of the log that does not concern this server. */
    record Unrelated(long offset) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            // Counts in the log only.
        }
    }

    /** A kind of event that this version does not know. */
    record Unknown(long offset, String kind) implements AgentEvent {
        @Override
        public void dispatch(AgentConnection source, Handler handler) {
            handler.onUnknown(this);
        }
    }
}
