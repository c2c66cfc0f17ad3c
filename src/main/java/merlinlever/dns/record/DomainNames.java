package merlinlever.dns.record;

import java.util.Arrays;

/**
 * Domain names as octets on the wire (RFC 1035 section 3.1), in lower case (RFC 4343), and as keys whose plain order is
 * the canonical order of RFC 4034 section 6.1. The key of an ancestor begins every key below it.
 */
public final class DomainNames {

    /** Octets of a name on the wire at the most, and of a label. */
    public static final int MOST = 255;

    public static final int MOST_LABEL = 63;
    /** The root. */
    @SuppressWarnings("MutablePublicArray") // names on the wire are byte arrays throughout; nobody writes into one
    public static final byte[] ROOT = {0};

    private DomainNames() {}

    /** A name from its text; a relative one stands below the origin. A null origin allows none. */
    public static byte[] parse(String text, byte[] origin) throws MalformedDnsException {
        if (text.equals("@")) {
            if (origin == null) {
                throw new MalformedDnsException("@ without an origin");
            }
            return origin;
        }
        if (text.equals(".")) {
            return ROOT;
        }
        byte[] out = new byte[MOST + 1];
        int at = 1;
        int start = 0;
        boolean absolute = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.') {
                if (at - start == 1) {
                    throw new MalformedDnsException("an empty label in " + shortened(text));
                }
                out[start] = (byte) (at - start - 1);
                start = at++;
                absolute = i == text.length() - 1;
            } else {
                if (c == '\\') {
                    int taken = escaped(text, i);
                    c = (char) (taken & 0xff);
                    i += taken >> 8;
                } else if (c < '!' || c > '~') {
                    throw new MalformedDnsException(
                            "a name holds only printable ASCII; write \\DDD in " + shortened(text));
                }
                if (at - start > MOST_LABEL) {
                    throw new MalformedDnsException("a label over " + MOST_LABEL + " octets in " + shortened(text));
                }
                out[at++] = (byte) lower(c);
            }
            if (at > MOST) {
                throw new MalformedDnsException("a name over " + MOST + " octets: " + shortened(text));
            }
        }
        if (text.isEmpty()) {
            throw new MalformedDnsException("an empty name");
        }
        if (absolute) {
            return Arrays.copyOf(out, at);
        }
        out[start] = (byte) (at - start - 1);
        if (origin == null) {
            throw new MalformedDnsException("the relative name " + shortened(text) + " without an origin");
        }
        if (at + origin.length > MOST) {
            throw new MalformedDnsException("a name over " + MOST + " octets: " + shortened(text));
        }
        byte[] whole = Arrays.copyOf(out, at + origin.length);
        System.arraycopy(origin, 0, whole, at, origin.length);
        return whole;
    }

    /** An absolute name, with or without its last dot. */
    public static byte[] absolute(String text) throws MalformedDnsException {
        return parse(text, ROOT);
    }

    /** The octet that an escape at the place stands for, and in the bits above it how much longer than one it is. */
    static int escaped(String text, int at) throws MalformedDnsException {
        if (at + 1 >= text.length()) {
            throw new MalformedDnsException("a backslash at the end of " + shortened(text));
        }
        char first = text.charAt(at + 1);
        if (first < '0' || first > '9') {
            return (first & 0xff) | 1 << 8;
        }
        int value = 0;
        for (int i = 1; i <= 3; i++) {
            char digit = at + i < text.length() ? text.charAt(at + i) : 'x';
            if (digit < '0' || digit > '9') {
                throw new MalformedDnsException("an escape is a backslash and three digits in " + shortened(text));
            }
            value = value * 10 + digit - '0';
        }
        if (value > 255) {
            throw new MalformedDnsException("an escape over 255 in " + shortened(text));
        }
        return value | 3 << 8;
    }

    private static String shortened(String text) {
        return text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }

    private static int lower(int c) {
        return c >= 'A' && c <= 'Z' ? c + 32 : c;
    }

    public static byte[] lower(byte[] wire) {
        byte[] low = wire.clone();
        for (int i = 0; i < low.length; i++) {
            // Lengths are under 'A'.
            low[i] = (byte) lower(low[i]);
        }
        return low;
    }

    public static String text(byte[] wire) {
        if (wire.length == 1) {
            return ".";
        }
        StringBuilder text = new StringBuilder(wire.length + 4);
        for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
            for (int i = at + 1; i <= at + wire[at]; i++) {
                int c = wire[i] & 0xff;
                if (c < '!' || c > '~') {
                    text.append('\\')
                            .append((char) ('0' + c / 100))
                            .append((char) ('0' + c / 10 % 10))
                            .append((char) ('0' + c % 10));
                } else {
                    if (".\\\"();@$".indexOf(c) >= 0) {
                        text.append('\\');
                    }
                    text.append((char) c);
                }
            }
            text.append('.');
        }
        return text.toString();
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

    /** The label put before the name, or null if that is too long. */
    public static byte[] below(byte[] label, byte[] name) {
        if (label.length + 1 + name.length > MOST) {
            return null;
        }
        byte[] whole = new byte[label.length + 1 + name.length];
        whole[0] = (byte) label.length;
        System.arraycopy(label, 0, whole, 1, label.length);
        System.arraycopy(name, 0, whole, label.length + 1, name.length);
        return whole;
    }

    // ---- keys: the labels from the root on, each ended by 0, with 0 and 1 within a label written as 1 1 and 1 2

    public static byte[] key(byte[] wire) {
        int[] starts = new int[128];
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

    public static byte[] wire(byte[] key) {
        byte[] wire = new byte[key.length + 1];
        int from = wire.length - 1;
        int to = from;
        byte[] label = new byte[MOST_LABEL];
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

    /** How many octets of the two keys are the same whole labels. */
    public static int shared(byte[] a, byte[] b) {
        int end = Arrays.mismatch(a, b);
        end = end < 0 ? a.length : end;
        while (end > 0 && a[end - 1] != 0) {
            end--;
        }
        return end;
    }

    public static boolean isPrefix(byte[] prefix, byte[] key) {
        return key.length >= prefix.length && Arrays.equals(prefix, 0, prefix.length, key, 0, prefix.length);
    }
}
