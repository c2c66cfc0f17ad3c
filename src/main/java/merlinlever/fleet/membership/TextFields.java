package merlinlever.fleet.membership;

/**
 * The fields of a peer's text message ({@link PeerMessage.Text}), separated by slashes; the first field is the message
 * type. Each accessor parses only its own field, so a receiver can ignore or answer a message without parsing all
 * fields. Immutable.
 */
public final class TextFields {

    private static final String SEPARATOR = "/";

    private final String[] fields;

    /** Splits a text into its fields; trailing empty fields are dropped. */
    public TextFields(String text) {
        fields = text.split(SEPARATOR);
    }

    /** Joins the fields to a text. */
    public static String join(String... fields) {
        return String.join(SEPARATOR, fields);
    }

    /** Returns whether the text has a field at the index. */
    public boolean has(int index) {
        return index < fields.length;
    }

    /**
     * Returns the field at the index.
     *
     * @throws IllegalArgumentException if the field is missing
     */
    public String text(int index) {
        if (!has(index)) {
            throw new IllegalArgumentException("message field is missing");
        }
        return fields[index];
    }

    /**
     * Returns the field at the index as a decimal number.
     *
     * @throws IllegalArgumentException if the field is missing or not a number
     */
    public long number(int index) {
        return Long.parseLong(text(index));
    }

    /**
     * Returns the field at the index as a number in the given radix.
     *
     * @throws IllegalArgumentException if the field is missing or not a number
     */
    public long number(int index, int radix) {
        return Long.parseLong(text(index), radix);
    }
}
