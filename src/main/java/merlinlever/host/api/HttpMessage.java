package merlinlever.host.api;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * An HTTP/1.1 request as far as it has arrived.
 *
 * @param contentLength of its header, 0 without one
 * @param bearerToken of its Authorization header
 * @param body what has arrived of it
 */
record HttpMessage(String requestLine, int contentLength, Optional<String> bearerToken, String body) {

    private static final String HEAD_END = "\r\n\r\n";
    /** Method, path and version. */
    private static final int REQUEST_LINE_WORDS = 3;

    private static final String AUTHORIZATION = "authorization: bearer ";

    /** Parses what was received; empty while the head is incomplete. */
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

    /** Whether the whole body has arrived. */
    boolean isComplete() {
        return body.getBytes(StandardCharsets.UTF_8).length >= contentLength;
    }

    /** Method and path with the body; empty if the request line is not one of HTTP. */
    Optional<ApiRequest> request() {
        String[] words = requestLine.split(" ");
        return words.length == REQUEST_LINE_WORDS
                ? Optional.of(new ApiRequest(words[0], words[1], body))
                : Optional.empty();
    }
}
