package merlinlever.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import merlinlever.core.RequestMetadata;
import merlinlever.core.RequestMetadata.Cost;
import merlinlever.core.RequestMetadata.RequestId;
import merlinlever.core.RequestMetadata.Timing;
import merlinlever.http.RequestHead.HeaderField;
import merlinlever.net.MonotonicClock;

/** What an operation needs, out of a head and a body; what is missing, unparsable or out of range makes it null. */
final class RequestMetadataParser {

    private static final double LARGEST_KB = 2000;
    private static final long LONGEST_WAIT = 3_600_000;
    /** Unix milliseconds beyond which nanoseconds do not fit. */
    private static final long LATEST = 9_000_000_000_000L;
    /** How far in the future the time of a message may lie, for clocks that are read one after the other. */
    private static final Duration AHEAD = Duration.ofSeconds(5);

    private final Map<String, String> given;

    RequestMetadataParser(Map<String, String> given) {
        this.given = given;
    }

    RequestMetadata asked(RequestHead head, String tariff, int index, MonotonicClock clock) {
        long time = head.digits(HeaderField.TIME);
        long wait = head.digits(HeaderField.WAIT);
        double kb = head.number(HeaderField.KB);
        double cost = head.has(HeaderField.COST) ? head.number(HeaderField.COST) : 0;
        double rank = head.has(HeaderField.RANK) ? head.number(HeaderField.RANK) : 0;
        boolean marked = "fingerprinted".equals(given.get("tariffs." + index + ".kind"));
        boolean wrong = !head.hex(HeaderField.ID, 16)
                || time < 0
                || time > LATEST
                || !(kb > 0 && kb < LARGEST_KB)
                || !(cost >= 0 && cost < LONGEST_WAIT)
                || !(rank >= 0 && rank < 1)
                || (head.has(HeaderField.WAIT) && (wait < 0 || wait > LONGEST_WAIT))
                || (head.has(HeaderField.FROM) && head.digits(HeaderField.FROM) < 0)
                || ((marked || head.has(HeaderField.TOKEN)) && !head.hex(HeaderField.TOKEN, 32))
                || (head.has(HeaderField.KEY) && !head.hex(HeaderField.KEY, 16));
        if (wrong) {
            return null;
        }
        Duration arrival = clock.ofUnix(time);
        if (arrival.minus(clock.now()).compareTo(AHEAD) > 0) {
            return null;
        }
        String id = head.text(HeaderField.ID);
        return new RequestMetadata(
                new RequestId(Long.parseUnsignedLong(id, 16), id),
                index,
                tariff,
                new Timing(arrival, wait < 0 ? Optional.empty() : Optional.of(arrival.plusMillis(wait))),
                new Cost(kb, cost > 0 ? Optional.of(Duration.ofNanos((long) (cost * 1e6))) : Optional.empty()),
                head.has(HeaderField.AGAIN) && head.text(HeaderField.AGAIN).matches("1|true"),
                marked ? Optional.of(head.text(HeaderField.TOKEN).toLowerCase(Locale.ROOT)) : Optional.empty(),
                head.has(HeaderField.KEY) ? Optional.of(head.text(HeaderField.KEY)) : Optional.empty());
    }
}
