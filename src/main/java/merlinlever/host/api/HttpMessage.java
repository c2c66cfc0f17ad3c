package merlinlever.host.api;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * HTTP/1.1 request with a complete head and a possibly incomplete body.
 *
 * @param contentLength value of the Content-Length header, or 0 without the header
 * @param bearerToken bearer token of the Authorization header
 * @param body received part of the body
 */
record HttpMessage(String requestLine, int contentLength, Optional<String> bearerToken, String body) {

    private static final String HEAD_END = "\r\n\r\n";
    /** Number of parts of a request line: method, path and version. */
    private static final int REQUEST_LINE_PARTS = 3;

    private static final String AUTHORIZATION = "authorization: bearer ";

    /** Parses the received text. Returns empty while the head is incomplete. */
    static Optional<HttpMessage> parse(String received) {
        int headLength = received.indexOf(HEAD_END);
        if (headLength < 0) {
            return Optional.empty();
        }
        String[] lines = received.substring(0, headLength).split("\r\n");
        int contentLength = 0;
        Optional<String> token = Optional.empty();
        for (String line : lines) {
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.matches("content-length: *[0-9]{1,6}")) {
                contentLength = Integer.parseInt(
                        lowerCase.substring(lowerCase.indexOf(':') + 1).strip());
            } else if (lowerCase.startsWith(AUTHORIZATION)) {
                token = Optional.of(line.substring(AUTHORIZATION.length()).strip());
            }
        }
        String body = received.substring(headLength + HEAD_END.length());
        return Optional.of(new HttpMessage(lines[0], contentLength, token, body));
    }

    /** Returns whether the whole body has arrived. */
    boolean isComplete() {
        return body.getBytes(StandardCharsets.UTF_8).length >= contentLength;
    }

    /** Returns the API request, or empty if the request line is not valid HTTP. */
    Optional<ApiRequest> request() {
        String[] parts = requestLine.split(" ");
        return parts.length == REQUEST_LINE_PARTS
                ? Optional.of(new ApiRequest(parts[0], parts[1], body))
                : Optional.empty();
    }
}
