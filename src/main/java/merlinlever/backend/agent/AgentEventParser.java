package merlinlever.backend.agent;

import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.json.Json;
import merlinlever.controller.Outcome;

/** Parses events of the agent. The members defined by the protocol are validated for every kind of event. */
final class AgentEventParser {

    private final Map<?, ?> object;

    private AgentEventParser(Map<?, ?> object) {
        this.object = object;
    }

    /** Parses one line. */
    static AgentEvent parse(String line) throws Json.MalformedJsonException {
        Map<?, ?> object = Json.parseObject(line);
        try {
            return new AgentEventParser(object).event();
        } catch (IllegalArgumentException e) {
            throw new Json.MalformedJsonException("invalid event: " + e.getMessage());
        }
    }

    private AgentEvent event() {
        String result = string("result").orElse(null);
        String kind = string("cmd").orElse(null);
        long requestId = string("req").map(id -> Long.parseUnsignedLong(id, 16)).orElse(0L);
        long offset = offset();
        double elapsedMs = elapsedMs();
        byte[] payload =
                string("payload").map(text -> Base64.getDecoder().decode(text)).orElse(new byte[0]);
        String token = string("token").orElse("");
        double[] gauges = gauges();
        return switch (kind == null ? "" : kind) {
            case "greeting" -> new AgentEvent.Greeting(offset, result, elapsedMs);
            case "outcome" -> new AgentEvent.RunEnded(offset, requestId, outcome(result), payload);
            case "request" -> new AgentEvent.CallRequested(offset, requestId, payload);
            case "sampled" -> new AgentEvent.MetricsReported(offset, token, gauges);
            case "exercised" -> new AgentEvent.DeepCheckCompleted(offset, token, "OK".equals(result));
            case "refusal" -> new AgentEvent.CommandRejected(offset, result, requestId);
            case "aside" -> new AgentEvent.Unrelated(offset);
            default -> new AgentEvent.Unknown(offset, kind);
        };
    }

    private Optional<String> string(String member) {
        Object value = object.get(member);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof String text) {
            return Optional.of(text);
        }
        throw new IllegalArgumentException(member + " is not a string");
    }

    /** Rejects invalid offsets: a wrong high offset would cause all events with lower offsets to be skipped. */
    private long offset() {
        Object value = object.get("offset");
        if (value == null) {
            return 0;
        }
        if (value instanceof Long offset && offset >= 0) {
            return offset;
        }
        throw new IllegalArgumentException("offset is not a non-negative integer");
    }

    private double elapsedMs() {
        Object value = object.get("elapsed_ms");
        if (value == null) {
            return 0;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("elapsed_ms is not a number");
    }

    private double[] gauges() {
        if (!(object.get("load") instanceof List<?> values)) {
            return new double[0];
        }
        double[] gauges = new double[values.size()];
        for (int i = 0; i < gauges.length; i++) {
            if (!(values.get(i) instanceof Number number)) {
                throw new IllegalArgumentException("gauge is not a number");
            }
            gauges[i] = number.doubleValue();
        }
        return gauges;
    }

    private static Optional<Outcome> outcome(String result) {
        if (result == null) {
            return Optional.empty();
        }
        return Optional.of(
                switch (result) {
                    case "OK" -> Outcome.OK;
                    case "STOPPED" -> Outcome.STOPPED;
                    case "MOOT" -> Outcome.NOT_STARTED;
                    default -> Outcome.ERROR;
                });
    }
}
