package merlinlever.cli;

/**
 * Thrown if a configuration of {@code serve} is unusable. The message is one line for the operator, on the console or
 * in the log.
 */
final class InvalidConfigurationException extends Exception {

    private static final long serialVersionUID = 1;

    InvalidConfigurationException(String message) {
        super(message);
    }

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
