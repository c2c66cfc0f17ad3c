package merlinlever.cli.service;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/**
 * Configures the log of the long-running commands other than {@code serve}: standard output, as text or as one JSON
 * object per line.
 */
public final class LoggingSetup {

    /** Log format. The names of the constants are the values of the option {@code --log}. */
    public enum LogFormat {
        /** One line per event with time, level and message. */
        text,
        /** One JSON object per line. */
        json
    }

    private LoggingSetup() {}

    /** Replaces the logging configuration of the whole process. */
    public static void configure(LogFormat format) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder = format == LogFormat.json ? jsonEncoder() : textEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(console);
    }

    private static JsonEncoder jsonEncoder() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithThreadName(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static PatternLayoutEncoder textEncoder() {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %level %msg%replace( %kvp){'^ $',''}%n");
        return encoder;
    }
}
