package merlinlever.common.log;

/** The severity of a log event. */
public enum LogLevel {
    /** No action by an operator is needed. */
    INFO,
    /** An operator should look at the event, while the program continues as designed. */
    WARN,
    /** A fault of the program or the machine. */
    ERROR
}
