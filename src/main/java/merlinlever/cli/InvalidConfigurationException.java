package merlinlever.cli;

/** A configuration that a backend cannot be served with; the message is one line for the operator at the console or in the log. */
final class InvalidConfigurationException extends Exception {

    private static final long serialVersionUID = 1;

    InvalidConfigurationException(String message) {
        super(message);
    }

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
