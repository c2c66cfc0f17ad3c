package merlinlever.dns.record;

import java.util.Arrays;
import java.util.Locale;

/**
 * Converts domain names between text, wire form and sort keys. The wire form (RFC 1035 section 3.1) is in lower case
 * (RFC 4343). The unsigned byte order of the keys is the canonical order of RFC 4034 section 6.1; the key of an
 * ancestor is a prefix of the keys of its descendants.
 */
public final class DomainNames {

    /** Maximum size in octets of a name on the wire (RFC 1035 section 2.3.4). */
    public static final int MAX_BYTES = 255;

    /** Maximum size in octets of a label without its length octet (RFC 1035 section 2.3.4). */
    public static final int MAX_LABEL_BYTES = 63;

    /** Maximum number of labels; each label takes at least two octets. */
    private static final int MAX_LABELS = (MAX_BYTES + 1) / 2;

    /** Printable characters that are escaped in zone files because of their special meaning. */
    private static final String ESCAPED_CHARACTERS = ".\\\"();@$";

    /** The root name. */
    @SuppressWarnings("MutablePublicArray") // names on the wire are byte arrays and are never modified
    public static final byte[] ROOT = {0};

    private DomainNames() {}

    /**
     * Parses a name in zone file syntax: with escapes, and {@code @} for the origin. A relative name is completed with
     * the origin.
     *
     * @param origin the origin on the wire, or null if relative names are not permitted
     */
    public static byte[] parse(String text, byte[] origin) throws MalformedDnsException {
        if (text.equals("@")) {
            if (origin == null) {
                throw new MalformedDnsException("@ is used without an origin");
            }
            return origin;
        }
        return text.equals(".") ? ROOT : NameParser.parse(text, origin);
    }

    /** Parses an absolute name; the final dot is optional. */
    public static byte[] absolute(String text) throws MalformedDnsException {
        return parse(text, ROOT);
    }

    static int toLowerCase(int octet) {
        return octet >= 'A' && octet <= 'Z' ? octet + ('a' - 'A') : octet;
    }

    /** Returns the name in lower case. */
    public static byte[] lower(byte[] wire) {
        byte[] lowerCase = wire.clone();
        for (int i = 0; i < lowerCase.length; i++) {
            // Length octets are at most 63, less than 'A', and remain unchanged.
            lowerCase[i] = (byte) toLowerCase(lowerCase[i]);
        }
        return lowerCase;
    }

    /** Returns the absolute name in zone file syntax, with the final dot. */
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

    /** Whether the name equals the ancestor or is below the ancestor; both names are in lower case. */
    public static boolean isUnder(byte[] name, byte[] ancestor) {
        int at = 0;
        while (name.length - at > ancestor.length) {
            at += name[at] + 1;
        }
        return name.length - at == ancestor.length
                && Arrays.equals(name, at, name.length, ancestor, 0, ancestor.length);
    }

    /** Returns the name without its first label; the parent of the root is the root. */
    public static byte[] parent(byte[] wire) {
        return wire.length == 1 ? wire : Arrays.copyOfRange(wire, wire[0] + 1, wire.length);
    }

    /** Returns the name with the label added at its front, or null if the result is too long. */
    public static byte[] prependLabel(byte[] label, byte[] name) {
        if (label.length + 1 + name.length > MAX_BYTES) {
            return null;
        }
        byte[] result = new byte[label.length + 1 + name.length];
        result[0] = (byte) label.length;
        System.arraycopy(label, 0, result, 1, label.length);
        System.arraycopy(name, 0, result, label.length + 1, name.length);
        return result;
    }

    /**
     * Returns the sort key of a name: its labels from the root downwards, each terminated by 0. Within a label, 0 is
     * escaped as 1 1 and 1 as 1 2.
     */
    public static byte[] key(byte[] wire) {
        int[] starts = new int[MAX_LABELS];
        int labels = 0;
        int escapedCount = 0;
        for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
            starts[labels++] = at;
            for (int i = at + 1; i <= at + wire[at]; i++) {
                escapedCount += wire[i] == 0 || wire[i] == 1 ? 1 : 0;
            }
        }
        byte[] key = new byte[wire.length - 1 + escapedCount];
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

    /** Returns the wire form of the name with the sort key. */
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

    /** Returns the size in octets of the longest common prefix of two sort keys that consists of whole labels. */
    public static int commonLabelBytes(byte[] a, byte[] b) {
        int end = Arrays.mismatch(a, b);
        end = end < 0 ? a.length : end;
        while (end > 0 && a[end - 1] != 0) {
            end--;
        }
        return end;
    }

    /** Whether the name of the first sort key equals the name of the second or is one of its ancestors. */
    public static boolean isPrefix(byte[] prefix, byte[] key) {
        return key.length >= prefix.length && Arrays.equals(prefix, 0, prefix.length, key, 0, prefix.length);
    }
}
