package merlinlever.fleet.membership;

/**
 * The fields of a text that a peer sent ({@link PeerMessage.Text}), separated by slashes; the first one is its type. A field is read
 * only when it is asked for, as a receiver may ignore or answer a message without looking at all of it. Immutable.
 */
public final class TextFields {

    private static final String SEPARATOR = "/";

    private final String[] fields;

    /** The fields of that text; empty ones at its end do not count. */
    public TextFields(String text) {
        fields = text.split(SEPARATOR);
    }

    /** A text of these fields. */
    public static String join(String... fields) {
        return String.join(SEPARATOR, fields);
    }

    /** Whether there is a field at that index. */
    public boolean has(int index) {
        return index < fields.length;
    }

    /**
     * The field at that index.
     *
     * @throws IllegalArgumentException if there are fewer
     */
    public String text(int index) {
        if (!has(index)) {
            throw new IllegalArgumentException("too few fields");
        }
        return fields[index];
    }

    /**
     * The field at that index as a number in base ten.
     *
     * @throws IllegalArgumentException if it is missing or no number
     */
    public long number(int index) {
        return Long.parseLong(text(index));
    }

    /**
     * The field at that index as a number in that base.
     *
     * @throws IllegalArgumentException if it is missing or no number
     */
    public long number(int index, int radix) {
        return Long.parseLong(text(index), radix);
    }
}
