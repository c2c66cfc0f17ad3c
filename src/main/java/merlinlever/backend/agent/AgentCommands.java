package merlinlever.backend.agent;

import java.util.Base64;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.json.Json;

/** Encodes the commands to the agent: one JSON object a line, with its line end. */
final class AgentCommands {

    private AgentCommands() {}

    /** Subscribes to all events after the offset. */
    static String subscribe(long lastOffset) {
        return "{\"cmd\":\"subscribe\",\"offset\":" + lastOffset + "}\n";
    }

    /** Polls the metrics; the answer carries the token. */
    static String pollMetrics(String token) {
        return "{\"cmd\":\"sample\",\"token\":\"" + token + "\"}\n";
    }

    /** Requests the work of a deep health check; the answer carries the token. */
    static String deepHealthCheck(String token) {
        return "{\"cmd\":\"exercise\",\"token\":\"" + token + "\"}\n";
    }

    /** Starts the run of a request; the agent ignores it where the run has been started already. */
    static String launch(TrackedRequest request) {
        return forRequest(
                "launch", request, ",\"method\":" + Json.quoted(request.priorityClassName()) + payload(request.body()));
    }

    /** Stops the run. */
    static String stopRun(TrackedRequest request) {
        return forRequest("freeze", request, "");
    }

    /** Delivers the reply of the run's downstream call. */
    static String deliverReply(TrackedRequest request, byte[] reply) {
        return forRequest("deliver", request, payload(reply));
    }

    /** Lets the run continue without its downstream call. */
    static String continueWithoutCall(TrackedRequest request) {
        return forRequest("forgo", request, "");
    }

    private static String forRequest(String command, TrackedRequest request, String members) {
        return "{\"cmd\":\"" + command + "\",\"req\":\"" + request.idText() + "\"" + members + "}\n";
    }

    private static String payload(byte[] bytes) {
        return ",\"payload\":\"" + Base64.getEncoder().encodeToString(bytes) + "\"";
    }
}
