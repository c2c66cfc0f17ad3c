package merlinlever.common.log;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.Supplier;

/**
 * Writes log lines to a stream: the time in UTC, the level, and the event as {@code event key=value ...}. At most
 * {@value #MAX_LINES_PER_SECOND} lines are written per second. The number of dropped lines is logged with the first
 * line of a later second. Thread-safe.
 */
public final class Log implements EventLog {

    private static final int MAX_LINES_PER_SECOND = 20;
    private static final int MAX_EVENT_CHARS = 500;
    /** Initial buffer capacity for the time and the level. */
    private static final int PREFIX_CHARS = 40;

    private final PrintStream out;
    private final Supplier<Instant> time;
    private long currentSecond;
    private int writtenThisSecond;
    private int dropped;

    /** Creates a log that writes to the stream and flushes the stream after each line. */
    public Log(PrintStream out, Supplier<Instant> time) {
        this.out = out;
        this.time = time;
    }

    /** Logs an event that needs no action by an operator. */
    @Override
    public void info(String event) {
        write(LogEvent.info(event));
    }

    /** Logs an event that an operator should look at, while the program continues as designed. */
    public void warn(String event) {
        write(LogEvent.warn(event));
    }

    /** Logs a fault of the program; the line ends with the exception and the location where it was thrown. */
    public void error(String event, Throwable cause) {
        write(LogEvent.error(event, cause));
    }

    @Override
    public synchronized void write(LogEvent event) {
        Instant now = time.get();
        if (now.getEpochSecond() != currentSecond) {
            currentSecond = now.getEpochSecond();
            writtenThisSecond = 0;
            if (dropped > 0) {
                print(now, LogEvent.warn("log-lines-dropped").with("count", dropped));
                dropped = 0;
            }
        }
        if (writtenThisSecond >= MAX_LINES_PER_SECOND) {
            dropped++;
            return;
        }
        writtenThisSecond++;
        print(now, event);
    }

    private void print(Instant now, LogEvent event) {
        String text = event.text();
        StringBuilder line = new StringBuilder(text.length() + PREFIX_CHARS);
        line.append(now.truncatedTo(ChronoUnit.MILLIS))
                .append(' ')
                .append(event.level())
                .append(' ');
        for (int i = 0; i < text.length() && i < MAX_EVENT_CHARS; i++) {
            line.append(text.charAt(i) < ' ' ? ' ' : text.charAt(i));
        }
        out.println(line);
        out.flush();
    }
}
