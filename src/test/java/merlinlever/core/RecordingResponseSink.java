package merlinlever.core;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** A caller that writes down, as words, what it is answered. */
public record RecordingResponseSink(List<String> heard) implements ResponseSink {

    @Override
    public void satisfied(byte[] result) {
        heard.add("satisfied " + new String(result, StandardCharsets.UTF_8));
    }

    @Override
    public void pushedBack(boolean nowhereElse, Duration stayAway) {
        heard.add("pushed back");
    }

    @Override
    public void brokenOff() {
        heard.add("broken off");
    }
}
