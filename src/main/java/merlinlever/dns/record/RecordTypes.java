package merlinlever.dns.record;

import org.xbill.DNS.Type;

/** The types that this program treats in a way of their own, and the names of all. */
public final class RecordTypes {

    public static final int A = 1,
            NS = 2,
            CNAME = 5,
            SOA = 6,
            PTR = 12,
            MX = 15,
            TXT = 16,
            AAAA = 28,
            SRV = 33,
            DNAME = 39,
            OPT = 41,
            DS = 43,
            TSIG = 250,
            IXFR = 251,
            AXFR = 252,
            ANY = 255;
    /** Classes (RFC 1035 section 3.2.4, RFC 2136 section 2.4). */
    public static final int IN = 1, CLASS_NONE = 254, CLASS_ANY = 255;

    private RecordTypes() {}

    /** Types that no zone holds: questions, and what is made for one message. */
    public static boolean isMeta(int type) {
        return type == 0 || type == OPT || (type >= 128 && type <= 255);
    }

    public static String text(int type) {
        String known = Type.string(type);
        return known == null ? "TYPE" + type : known;
    }

    /** The number, TYPE65280 too (RFC 3597 section 5), or -1. */
    public static int number(String text) {
        if (text.regionMatches(true, 0, "TYPE", 0, 4) && text.length() > 4) {
            try {
                int number = Integer.parseInt(text.substring(4));
                return number >= 0 && number <= 0xffff && text.charAt(4) != '+' ? number : -1;
            } catch (NumberFormatException e) {
                return -1;
            }
        }
        return Type.value(text);
    }
}
