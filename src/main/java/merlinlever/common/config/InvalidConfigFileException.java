package merlinlever.common.config;

/**
 * A configuration file that cannot be used. The message is for the operator: one line for each fault, in the form
 * {@code FILE:LINE: reason}.
 */
public final class InvalidConfigFileException extends Exception {

    private static final long serialVersionUID = 1;

    /** With the lines for the operator. */
    public InvalidConfigFileException(String message) {
        super(message);
    }

    /** With the lines for the operator and what made the file unusable. */
    public InvalidConfigFileException(String message, Throwable cause) {
        super(message, cause);
    }
}
