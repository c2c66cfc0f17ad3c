package merlinlever.common.log;

/** Whether an operator has to act on an event. */
public enum LogLevel {
    /** Nothing to do. */
    INFO,
    /** Something to look at, while the program goes on as it is meant to. */
    WARN,
    /** A fault of the program or the machine. */
    ERROR
}
