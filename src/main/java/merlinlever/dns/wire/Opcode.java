package merlinlever.dns.wire;

/** Kinds of message (RFC 1035 section 4.1.1). */
public enum Opcode {
    QUERY(0),
    /** RFC 1996. */
    NOTIFY(4),
    /** RFC 2136. */
    UPDATE(5),
    /** An opcode that this program does not implement. */
    OTHER(-1);

    /** The bits of the header flags that hold the opcode. */
    public static final int FLAGS_MASK = 0x7800;

    private static final int SHIFT = 11;

    private final int code;

    Opcode(int code) {
        this.code = code;
    }

    static Opcode ofFlags(int flags) {
        int code = (flags & FLAGS_MASK) >> SHIFT;
        for (Opcode opcode : values()) {
            if (opcode.code == code) {
                return opcode;
            }
        }
        return OTHER;
    }

    /** Returns the opcode as bits of the header flags. */
    public int flags() {
        return code << SHIFT;
    }
}
