package merlinlever.backend;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** Records the responses that it receives as strings. */
public record RecordingResponseSink(List<String> responses) implements ResponseSink {

    @Override
    public void succeed(byte[] result) {
        responses.add("succeeded " + new String(result, StandardCharsets.UTF_8));
    }

    @Override
    public void reject(boolean finalRejection, Duration retryAfter) {
        responses.add("rejected");
    }

    @Override
    public void fail() {
        responses.add("failed");
    }
}
