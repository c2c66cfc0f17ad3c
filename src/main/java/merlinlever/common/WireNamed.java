package merlinlever.common;

/** A constant that files, messages or commands name; the name there stays whatever the constant is called here. */
public interface WireNamed {

    /** The name outside the program. */
    String wireName();

    /** The constant of that name, in any case; an {@link IllegalArgumentException} where there is none. */
    static <E extends Enum<E> & WireNamed> E parse(Class<E> type, String text) {
        for (E each : type.getEnumConstants()) {
            if (each.wireName().equalsIgnoreCase(text)) {
                return each;
            }
        }
        throw new IllegalArgumentException("not known: " + text);
    }
}
