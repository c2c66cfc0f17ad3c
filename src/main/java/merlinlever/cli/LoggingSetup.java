package merlinlever.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sets up the log of the commands that stay: standard output, as text or as one JSON object a line. */
public final class LoggingSetup {

    /** The two forms of a log. */
    public enum LogFormat {
        text,
        json
    }

    private LoggingSetup() {}

    public static void start(LogFormat form) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (form == LogFormat.json) {
            JsonEncoder json = new JsonEncoder();
            json.setWithContext(false);
            json.setWithSequenceNumber(false);
            json.setWithThreadName(false);
            json.setWithNanoseconds(false);
            json.setWithFormattedMessage(true);
            encoder = json;
        } else {
            PatternLayoutEncoder text = new PatternLayoutEncoder();
            text.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %level %msg%replace( %kvp){'^ $',''}%n");
            encoder = text;
        }
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
}
