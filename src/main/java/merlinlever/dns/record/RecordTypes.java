package merlinlever.dns.record;

import org.xbill.DNS.Type;

/**
 * Defines the record types and classes that need special treatment, and converts type numbers to and from names. Types
 * are plain numbers because unknown types are stored and served too (RFC 3597).
 */
public final class RecordTypes {

    // RFC 1035 section 3.2.2.
    public static final int A = 1;
    public static final int NS = 2;
    public static final int MD = 3;
    public static final int MF = 4;
    public static final int CNAME = 5;
    public static final int SOA = 6;
    public static final int MB = 7;
    public static final int MG = 8;
    public static final int MR = 9;
    public static final int PTR = 12;
    public static final int MINFO = 14;
    public static final int MX = 15;
    public static final int TXT = 16;

    // RFC 1183.
    public static final int RP = 17;
    public static final int AFSDB = 18;
    public static final int RT = 21;

    /** RFC 2163. */
    public static final int PX = 26;

    /** RFC 3596. */
    public static final int AAAA = 28;

    /** RFC 2782. */
    public static final int SRV = 33;

    /** RFC 3403. */
    public static final int NAPTR = 35;

    /** RFC 2230. */
    public static final int KX = 36;

    /** RFC 6672. */
    public static final int DNAME = 39;

    /** EDNS, RFC 6891. */
    public static final int OPT = 41;

    /** RFC 4034. */
    public static final int DS = 43;

    /** RFC 4408. */
    public static final int SPF = 99;

    /** RFC 8945. */
    public static final int TSIG = 250;

    /** RFC 1995. */
    public static final int IXFR = 251;

    /** RFC 5936. */
    public static final int AXFR = 252;

    /** RFC 1035 section 3.2.3. */
    public static final int ANY = 255;

    /** The class of the Internet (RFC 1035 section 3.2.4). */
    public static final int IN = 1;

    /** The class NONE (RFC 2136 section 2.4). */
    public static final int CLASS_NONE = 254;

    /** The class ANY (RFC 1035 section 3.2.5). */
    public static final int CLASS_ANY = 255;

    /** First number of the range of query and meta types (RFC 6895 section 3.1). */
    private static final int FIRST_META_TYPE = 128;

    private static final int LAST_META_TYPE = 255;

    private static final int MAX_TYPE = 0xffff;

    /** Prefix of the number of a type without a name (RFC 3597 section 5). */
    private static final String NUMBER_PREFIX = "TYPE";

    private RecordTypes() {}

    /** Whether the type occurs only in queries or messages, never in a zone. */
    public static boolean isMeta(int type) {
        return type == 0 || type == OPT || (type >= FIRST_META_TYPE && type <= LAST_META_TYPE);
    }

    /** Returns the name of the type, for example AAAA or TYPE65280. */
    public static String text(int type) {
        String name = Type.string(type);
        return name == null ? NUMBER_PREFIX + type : name;
    }

    /** Returns the type with a name such as AAAA or TYPE65280, or -1 if the name is unknown. */
    public static int number(String text) {
        int prefix = NUMBER_PREFIX.length();
        if (!text.regionMatches(true, 0, NUMBER_PREFIX, 0, prefix) || text.length() == prefix) {
            return Type.value(text);
        }
        try {
            int number = Integer.parseInt(text.substring(prefix));
            return number >= 0 && number <= MAX_TYPE && text.charAt(prefix) != '+' ? number : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
