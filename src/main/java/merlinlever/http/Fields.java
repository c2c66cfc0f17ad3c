package merlinlever.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import merlinlever.core.Backend;
import merlinlever.http.Head.Field;
import merlinlever.net.Clock;

/** What an operation needs, out of a head and a body; what is missing, unparsable or out of range makes it null. */
final class Fields {

    private static final double LARGEST_KB = 2000;
    private static final long LONGEST_WAIT = 3_600_000;
    /** Unix milliseconds beyond which nanoseconds do not fit. */
    private static final long LATEST = 9_000_000_000_000L;
    /** How far in the future the time of a message may lie, for clocks that are read one after the other. */
    private static final Duration AHEAD = Duration.ofSeconds(5);

    private final Map<String, String> given;

    Fields(Map<String, String> given) {
        this.given = given;
    }

    Backend.Asked asked(Head head, String tariff, int index, byte[] body, Clock clock) {
        long time = head.digits(Field.TIME);
        long wait = head.digits(Field.WAIT);
        double kb = head.number(Field.KB);
        double cost = head.has(Field.COST) ? head.number(Field.COST) : 0;
        double rank = head.has(Field.RANK) ? head.number(Field.RANK) : 0;
        boolean marked = "fingerprinted".equals(given.get("tariffs." + index + ".kind"));
        boolean wrong = !head.hex(Field.ID, 16)
                || time < 0
                || time > LATEST
                || !(kb > 0 && kb < LARGEST_KB)
                || !(cost >= 0 && cost < LONGEST_WAIT)
                || !(rank >= 0 && rank < 1)
                || head.has(Field.WAIT) && (wait < 0 || wait > LONGEST_WAIT)
                || head.has(Field.FROM) && head.digits(Field.FROM) < 0
                || (marked || head.has(Field.TOKEN)) && !head.hex(Field.TOKEN, 32)
                || head.has(Field.KEY) && !head.hex(Field.KEY, 16);
        if (wrong) {
            return null;
        }
        Duration arrival = clock.ofUnix(time);
        if (arrival.minus(clock.now()).compareTo(AHEAD) > 0) {
            return null;
        }
        String id = head.text(Field.ID);
        return new Backend.Asked(
                Long.parseUnsignedLong(id, 16),
                id,
                index,
                tariff,
                arrival,
                wait < 0 ? null : arrival.plusMillis(wait),
                kb,
                cost > 0 ? Duration.ofNanos((long) (cost * 1e6)) : null,
                head.has(Field.AGAIN) && head.text(Field.AGAIN).matches("1|true"),
                marked ? head.text(Field.TOKEN).toLowerCase(Locale.ROOT) : null,
                head.has(Field.KEY) ? head.text(Field.KEY) : null,
                body);
    }
}
