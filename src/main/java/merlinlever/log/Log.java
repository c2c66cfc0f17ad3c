package merlinlever.log;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.Supplier;

/** Writes lines to one stream, so many a second at the most; what was left out is counted and said. */
public final class Log {

    private static final int LINES_A_SECOND = 20;

    private final PrintStream out;
    private final Supplier<Instant> time;
    private long second;
    private int written;
    private int leftOut;

    public Log(PrintStream out, Supplier<Instant> time) {
        this.out = out;
        this.time = time;
    }

    public void info(String text) {
        line("INFO", text);
    }

    public void warn(String text) {
        line("WARN", text);
    }

    public void error(String text, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        line("ERROR", text + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private synchronized void line(String level, String text) {
        Instant now = time.get();
        if (now.getEpochSecond() != second) {
            second = now.getEpochSecond();
            written = 0;
            if (leftOut > 0) {
                print(now, "WARN", leftOut + " lines left out");
                leftOut = 0;
            }
        }
        if (written >= LINES_A_SECOND) {
            leftOut++;
            return;
        }
        written++;
        print(now, level, text);
    }

    private void print(Instant now, String level, String text) {
        StringBuilder line = new StringBuilder(text.length() + 40);
        line.append(now.truncatedTo(ChronoUnit.MILLIS))
                .append(' ')
                .append(level)
                .append(' ');
        for (int i = 0; i < text.length() && i < 500; i++) {
            line.append(text.charAt(i) < ' ' ? ' ' : text.charAt(i));
        }
        out.println(line);
        out.flush();
    }
}
