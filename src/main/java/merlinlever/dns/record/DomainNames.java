package merlinlever.dns.record;

import java.util.Arrays;
import java.util.Locale;

/**
 * Domain names as octets on the wire (RFC 1035 section 3.1), in lower case (RFC 4343), and as keys whose unsigned byte
 * order is the canonical order of RFC 4034 section 6.1. The key of an ancestor is a prefix of every key below it.
 */
public final class DomainNames {

    /** Octets of a name on the wire (RFC 1035 section 2.3.4). */
    public static final int MAX_BYTES = 255;

    /** Octets of a label without its length (RFC 1035 section 2.3.4). */
    public static final int MAX_LABEL_BYTES = 63;

    /** Each label takes two octets at least. */
    private static final int MAX_LABELS = (MAX_BYTES + 1) / 2;

    /** Printable characters that have a meaning in zone files. */
    private static final String ESCAPED_CHARACTERS = ".\\\"();@$";

    /** The root. */
    @SuppressWarnings("MutablePublicArray") // names on the wire are byte arrays throughout; nobody writes into one
    public static final byte[] ROOT = {0};

    private DomainNames() {}

    /**
     * The name of a text as in zone files: escapes, {@code @} for the origin, a relative name below the origin.
     *
     * @param origin on the wire, or null where relative names are not allowed
     */
    public static byte[] parse(String text, byte[] origin) throws MalformedDnsException {
        if (text.equals("@")) {
            if (origin == null) {
                throw new MalformedDnsException("@ without an origin");
            }
            return origin;
        }
        return text.equals(".") ? ROOT : NameParser.parse(text, origin);
    }

    /** An absolute name, with or without its last dot. */
    public static byte[] absolute(String text) throws MalformedDnsException {
        return parse(text, ROOT);
    }

    static int lower(int octet) {
        return octet >= 'A' && octet <= 'Z' ? octet + ('a' - 'A') : octet;
    }

    /** The name in lower case. */
    public static byte[] lower(byte[] wire) {
        byte[] low = wire.clone();
        for (int i = 0; i < low.length; i++) {
            // The octets that hold a label's length are under 'A'.
            low[i] = (byte) lower(low[i]);
        }
        return low;
    }

    /** The absolute name as in zone files, with its last dot. */
    public static String text(byte[] wire) {
        if (wire.length == 1) {
            return ".";
        }
        StringBuilder text = new StringBuilder(wire.length);
        for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
            for (int i = at + 1; i <= at + wire[at]; i++) {
                appendEscaped(text, Octets.u8(wire, i));
            }
            text.append('.');
        }
        return text.toString();
    }

    private static void appendEscaped(StringBuilder text, int octet) {
        if (octet < '!' || octet > '~') {
            text.append(String.format(Locale.ROOT, "\\%03d", octet));
            return;
        }
        if (ESCAPED_CHARACTERS.indexOf(octet) >= 0) {
            text.append('\\');
        }
        text.append((char) octet);
    }

    /** Whether the name is the ancestor or below it; both in lower case. */
    public static boolean isUnder(byte[] name, byte[] ancestor) {
        int at = 0;
        while (name.length - at > ancestor.length) {
            at += name[at] + 1;
        }
        return name.length - at == ancestor.length
                && Arrays.equals(name, at, name.length, ancestor, 0, ancestor.length);
    }

    /** The name without its first label. */
    public static byte[] parent(byte[] wire) {
        return wire.length == 1 ? wire : Arrays.copyOfRange(wire, wire[0] + 1, wire.length);
    }

    /** The name of the label directly below a name, or null if that is too long. */
    public static byte[] prependLabel(byte[] label, byte[] name) {
        if (label.length + 1 + name.length > MAX_BYTES) {
            return null;
        }
        byte[] whole = new byte[label.length + 1 + name.length];
        whole[0] = (byte) label.length;
        System.arraycopy(label, 0, whole, 1, label.length);
        System.arraycopy(name, 0, whole, label.length + 1, name.length);
        return whole;
    }

    /**
     * The key of a name: the labels from the root on, each ended by 0, with 0 and 1 within a label written as 1 1 and
     * 1 2.
     */
    public static byte[] key(byte[] wire) {
        int[] starts = new int[MAX_LABELS];
        int labels = 0;
        int special = 0;
        for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
            starts[labels++] = at;
            for (int i = at + 1; i <= at + wire[at]; i++) {
                special += wire[i] == 0 || wire[i] == 1 ? 1 : 0;
            }
        }
        byte[] key = new byte[wire.length - 1 + special];
        int to = 0;
        for (int label = labels - 1; label >= 0; label--) {
            int at = starts[label];
            for (int i = at + 1; i <= at + wire[at]; i++) {
                if (wire[i] == 0 || wire[i] == 1) {
                    key[to++] = 1;
                    key[to++] = (byte) (wire[i] + 1);
                } else {
                    key[to++] = wire[i];
                }
            }
            key[to++] = 0;
        }
        return key;
    }

    /** The name of a key. */
    public static byte[] wire(byte[] key) {
        byte[] wire = new byte[key.length + 1];
        int from = wire.length - 1;
        int to = from;
        byte[] label = new byte[MAX_LABEL_BYTES];
        int length = 0;
        for (int i = 0; i < key.length; i++) {
            if (key[i] == 0) {
                to -= length + 1;
                wire[to] = (byte) length;
                System.arraycopy(label, 0, wire, to + 1, length);
                length = 0;
            } else {
                label[length++] = key[i] == 1 ? (byte) (key[++i] - 1) : key[i];
            }
        }
        return to == 0 ? wire : Arrays.copyOfRange(wire, to, wire.length);
    }

    /** The length, in octets, of the whole labels that two keys have in common. */
    public static int commonLabelBytes(byte[] a, byte[] b) {
        int end = Arrays.mismatch(a, b);
        end = end < 0 ? a.length : end;
        while (end > 0 && a[end - 1] != 0) {
            end--;
        }
        return end;
    }

    /** Whether the name of the first key is the second's own name or an ancestor of it. */
    public static boolean isPrefix(byte[] prefix, byte[] key) {
        return key.length >= prefix.length && Arrays.equals(prefix, 0, prefix.length, key, 0, prefix.length);
    }
}
