package merlinlever.common;

/** An enum constant with a fixed name in files, messages or commands, independent of its name in the code. */
public interface WireNamed {

    /** Returns the name used in files, messages and commands. */
    String wireName();

    /**
     * Returns the constant with the given name, ignoring case.
     *
     * @throws IllegalArgumentException if no constant has the name
     */
    static <E extends Enum<E> & WireNamed> E parse(Class<E> type, String text) {
        for (E constant : type.getEnumConstants()) {
            if (constant.wireName().equalsIgnoreCase(text)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("not known: " + text);
    }
}
