package merlinlever.agent;

import java.util.Base64;
import java.util.List;
import java.util.Map;
import merlinlever.Outcome;
import merlinlever.json.Json;

/**
 * One line of the agent.
 *
 * @param offset its number, or 0 where it has none
 * @param id of the operation, or 0
 * @param ending how the run ended, where that is what it says
 * @param row the gauges, where it brings them
 */
record AgentEvent(
        String word,
        long offset,
        long id,
        String text,
        Outcome ending,
        double elapsedMs,
        byte[] payload,
        String token,
        double[] row) {

    /** The notice on the line. */
    static AgentEvent parse(String line) throws Json.MalformedJsonException {
        Map<?, ?> object = Json.object(line);
        try {
            String text = string(object, "result");
            String id = string(object, "req");
            String payload = string(object, "payload");
            return new AgentEvent(
                    string(object, "cmd"),
                    offset(object),
                    id == null ? 0 : Long.parseUnsignedLong(id, 16),
                    text,
                    ending(text),
                    number(object, "elapsed_ms"),
                    payload == null ? new byte[0] : Base64.getDecoder().decode(payload),
                    string(object, "token"),
                    row(object.get("load")));
        } catch (IllegalArgumentException e) {
            throw new Json.MalformedJsonException("not a notice: " + e.getMessage());
        }
    }

    private static String string(Map<?, ?> object, String name) {
        Object value = object.get(name);
        if (value != null && !(value instanceof String)) {
            throw new IllegalArgumentException(name + " is no string");
        }
        return (String) value;
    }

    /** One that is no number of a notice would be the last that is ever read: all others lie below it. */
    private static long offset(Map<?, ?> object) {
        Object value = object.get("offset");
        if (value != null && !(value instanceof Long number && number >= 0)) {
            throw new IllegalArgumentException("offset is no number of a notice");
        }
        return value == null ? 0 : (Long) value;
    }

    private static double number(Map<?, ?> object, String name) {
        Object value = object.get(name);
        if (value != null && !(value instanceof Number)) {
            throw new IllegalArgumentException(name + " is no number");
        }
        return value == null ? 0 : ((Number) value).doubleValue();
    }

    private static double[] row(Object value) {
        if (!(value instanceof List<?> list)) {
            return new double[0];
        }
        return list.stream()
                .mapToDouble(item -> {
                    if (item instanceof Number number) {
                        return number.doubleValue();
                    }
                    throw new IllegalArgumentException("a gauge is no number");
                })
                .toArray();
    }

    private static Outcome ending(String text) {
        return text == null
                ? null
                : switch (text) {
                    case "OK" -> Outcome.OK;
                    case "STOPPED" -> Outcome.STOPPED;
                    case "MOOT" -> Outcome.NOT_STARTED;
                    default -> Outcome.ERROR;
                };
    }
}
