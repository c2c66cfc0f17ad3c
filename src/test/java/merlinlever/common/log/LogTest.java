package merlinlever.common.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class LogTest {

    @Test
    void linesOverTheRateLimitAreDroppedAndCounted() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AtomicReference<Instant> time = new AtomicReference<>(Instant.ofEpochSecond(1_000_000));
        Log log = new Log(new PrintStream(out, true, StandardCharsets.UTF_8), time::get);
        for (int i = 0; i < 50; i++) {
            log.info("line\n" + i);
        }
        time.set(time.get().plusSeconds(1));
        log.warn("next");
        String[] lines = out.toString(StandardCharsets.UTF_8).split(System.lineSeparator());
        assertEquals(22, lines.length);
        assertEquals("1970-01-12T13:46:40Z INFO line 0", lines[0]);
        assertEquals("1970-01-12T13:46:41Z WARN log-lines-dropped count=30", lines[20]);
        assertEquals("1970-01-12T13:46:41Z WARN next", lines[21]);
    }

    @Test
    void errorLineContainsTheExceptionAndItsLocation() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Log log = new Log(new PrintStream(out, true, StandardCharsets.UTF_8), () -> Instant.ofEpochSecond(1_000_000));
        IllegalStateException cause = new IllegalStateException("closed");
        log.error("handler-failed", cause);
        assertEquals(
                "1970-01-12T13:46:40Z ERROR handler-failed error=\"java.lang.IllegalStateException: closed\" at="
                        + cause.getStackTrace()[0],
                out.toString(StandardCharsets.UTF_8).trim());
    }

    @Test
    void valuesAreQuotedOnlyIfTheyAreEmptyOrAmbiguous() {
        LogEvent event = LogEvent.info("view-adopted")
                .with("view", "3.1")
                .with("reason", "two words")
                .with("empty", "")
                .with("text", "a=\"b\"");
        assertEquals("view-adopted view=3.1 reason=\"two words\" empty=\"\" text=\"a=\\\"b\\\"\"", event.text());
        assertEquals(LogLevel.INFO, event.level());
        assertEquals(
                "recovery: joined",
                LogEvent.info("joined").withPrefix("recovery: ").text());
    }
}
