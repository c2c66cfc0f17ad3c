package merlinlever.backend.agent;

import java.util.Base64;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.json.Json;

/** Encodes commands to the agent, each as a JSON object followed by a line end. */
final class AgentCommands {

    private AgentCommands() {}

    /** Encodes a subscription to all events after the offset. */
    static String subscribe(long lastOffset) {
        return "{\"cmd\":\"subscribe\",\"offset\":" + lastOffset + "}\n";
    }

    /** Encodes a metrics poll; the answer carries the token. */
    static String pollMetrics(String token) {
        return "{\"cmd\":\"sample\",\"token\":\"" + token + "\"}\n";
    }

    /** Encodes the start of a deep health check; the answer carries the token. */
    static String deepHealthCheck(String token) {
        return "{\"cmd\":\"exercise\",\"token\":\"" + token + "\"}\n";
    }

    /** Encodes the start of a request's run; the agent ignores the command if the run has already been started. */
    static String launch(TrackedRequest request) {
        return forRequest(
                "launch", request, ",\"method\":" + Json.quote(request.priorityClassName()) + payload(request.body()));
    }

    /** Encodes the command that stops the request's run. */
    static String stopRun(TrackedRequest request) {
        return forRequest("freeze", request, "");
    }

    /** Encodes the reply to the downstream call that the request's run waits for. */
    static String deliverReply(TrackedRequest request, byte[] reply) {
        return forRequest("deliver", request, payload(reply));
    }

    /** Encodes the command that lets the request's run continue without its downstream call. */
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
