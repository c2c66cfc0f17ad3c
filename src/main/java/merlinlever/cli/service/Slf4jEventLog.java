package merlinlever.cli.service;

import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import org.slf4j.Logger;

/** Writes events to an SLF4J logger. Thread-safe. */
public final class Slf4jEventLog implements EventLog {

    private final Logger logger;

    /** Creates an event log that writes to the logger. */
    public Slf4jEventLog(Logger logger) {
        this.logger = logger;
    }

    @Override
    public void write(LogEvent event) {
        switch (event.level()) {
            case INFO -> logger.info("{}", event.text());
            case WARN -> logger.warn("{}", event.text());
            case ERROR -> logger.error("{}", event.text());
        }
    }
}
