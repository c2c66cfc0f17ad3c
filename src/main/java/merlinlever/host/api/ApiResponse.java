package merlinlever.host.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.HttpURLConnection;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Response to an API request.
 *
 * @param status HTTP status code (RFC 9110)
 * @param retryAfter delay before a retry by the client, or zero without a Retry-After header
 */
record ApiResponse(int status, JsonNode body, Duration retryAfter) {

    /** Insufficient Storage (RFC 4918): the agent cannot write its state. */
    private static final int HTTP_INSUFFICIENT_STORAGE = 507;

    static ApiResponse ok(JsonNode body) {
        return new ApiResponse(HttpURLConnection.HTTP_OK, body, Duration.ZERO);
    }

    static ApiResponse badRequest(String reason) {
        return error(HttpURLConnection.HTTP_BAD_REQUEST, reason, Duration.ZERO);
    }

    static ApiResponse unauthorized(String reason) {
        return error(HttpURLConnection.HTTP_UNAUTHORIZED, reason, Duration.ZERO);
    }

    static ApiResponse notFound(String reason) {
        return error(HttpURLConnection.HTTP_NOT_FOUND, reason, Duration.ZERO);
    }

    static ApiResponse internalError(String reason) {
        return error(HttpURLConnection.HTTP_INTERNAL_ERROR, reason, Duration.ZERO);
    }

    static ApiResponse unavailable(String reason, Duration retryAfter) {
        return error(HttpURLConnection.HTTP_UNAVAILABLE, reason, retryAfter);
    }

    static ApiResponse insufficientStorage(String reason) {
        return error(HTTP_INSUFFICIENT_STORAGE, reason, Duration.ZERO);
    }

    private static ApiResponse error(int status, String reason, Duration retryAfter) {
        return new ApiResponse(status, JsonNodeFactory.instance.objectNode().put("error", reason), retryAfter);
    }

    /** Returns the encoded head and body. */
    ByteBuffer[] encode() {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String retryAfterLine =
                retryAfter.isZero() ? "" : "Retry-After: " + Math.max(1, retryAfter.toSeconds()) + "\r\n";
        String head = "HTTP/1.1 " + status + (status == HttpURLConnection.HTTP_OK ? " OK" : " Not done")
                + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                + retryAfterLine
                + "Content-Length: " + bytes.length + "\r\n\r\n";
        return new ByteBuffer[] {StandardCharsets.US_ASCII.encode(head), ByteBuffer.wrap(bytes)};
    }
}
