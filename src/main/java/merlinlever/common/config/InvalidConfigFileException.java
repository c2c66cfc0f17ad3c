package merlinlever.common.config;

/**
 * Thrown if a configuration file is invalid. The message, which is shown to the operator, has one line for each fault,
 * in the form {@code FILE:LINE: reason}.
 */
public final class InvalidConfigFileException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception whose message is shown to the operator. */
    public InvalidConfigFileException(String message) {
        super(message);
    }

    /** Creates an exception with a cause, whose message is shown to the operator. */
    public InvalidConfigFileException(String message, Throwable cause) {
        super(message, cause);
    }
}
