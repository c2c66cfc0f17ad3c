package merlinlever.core;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** A caller that writes down, as words, what it is answered. */
public record RecordingResponseSink(List<String> heard) implements ResponseSink {

    @Override
    public void succeed(byte[] result) {
        heard.add("satisfied " + new String(result, StandardCharsets.UTF_8));
    }

    @Override
    public void reject(boolean nowhereElse, Duration stayAway) {
        heard.add("pushed back");
    }

    @Override
    public void fail() {
        heard.add("broken off");
    }
}
