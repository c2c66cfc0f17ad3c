package merlinlever.dns.follow;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Whose a name is, as it stands in a TXT record beside it. It changes with every write, so whoever writes on the condition
 * that it is as it was read writes on top of nothing else; and from its changes others see that its holder lives.
 *
 * @param owner the group of followers that the records belong to
 * @param holder the one of them that writes now
 * @param term counts the holders
 * @param beat counts the writes of a term
 */
record OwnershipClaim(String owner, String holder, long term, long beat) {

    private static final Pattern FORM = Pattern.compile(
            "merlinlever owner=([a-z0-9-]{1,40}) holder=([a-z0-9-]{1,40}) term=([0-9]{1,15}) beat=([0-9]{1,15})");

    /** From the data of a TXT record; null where it is something else. */
    static OwnershipClaim read(byte[] data) {
        if (data.length < 2 || (data[0] & 0xff) != data.length - 1) {
            return null;
        }
        Matcher matcher = FORM.matcher(new String(data, 1, data.length - 1, StandardCharsets.ISO_8859_1));
        return matcher.matches()
                ? new OwnershipClaim(
                        matcher.group(1),
                        matcher.group(2),
                        Long.parseLong(matcher.group(3)),
                        Long.parseLong(matcher.group(4)))
                : null;
    }

    byte[] data() {
        byte[] text = ("merlinlever owner=" + owner + " holder=" + holder + " term=" + term + " beat=" + beat)
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] data = new byte[text.length + 1];
        data[0] = (byte) text.length;
        System.arraycopy(text, 0, data, 1, text.length);
        return data;
    }

    OwnershipClaim next() {
        return new OwnershipClaim(owner, holder, term, beat + 1);
    }
}
