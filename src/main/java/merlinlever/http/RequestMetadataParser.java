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

    private static final double MAX_KB = 2000;
    private static final long MAX_WAIT_MS = 3_600_000;
    /** Unix milliseconds beyond which nanoseconds do not fit. */
    private static final long MAX_UNIX_MS = 9_000_000_000_000L;
    /** How far in the future the time of a message may lie, for clocks that are read one after the other. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(5);

    private final Map<String, String> settings;

    RequestMetadataParser(Map<String, String> settings) {
        this.settings = settings;
    }

    RequestMetadata parse(RequestHead head, String tariff, int index, MonotonicClock clock) {
        long time = head.digits(HeaderField.SENT_AT);
        long wait = head.digits(HeaderField.MAX_WAIT);
        double kb = head.number(HeaderField.MEMORY_KB);
        double cost = head.has(HeaderField.EXPECTED_COST) ? head.number(HeaderField.EXPECTED_COST) : 0;
        double rank = head.has(HeaderField.RANK) ? head.number(HeaderField.RANK) : 0;
        boolean marked = "fingerprinted".equals(settings.get("tariffs." + index + ".kind"));
        boolean wrong = !head.isHex(HeaderField.REQUEST_ID, 16)
                || time < 0
                || time > MAX_UNIX_MS
                || !(kb > 0 && kb < MAX_KB)
                || !(cost >= 0 && cost < MAX_WAIT_MS)
                || !(rank >= 0 && rank < 1)
                || (head.has(HeaderField.MAX_WAIT) && (wait < 0 || wait > MAX_WAIT_MS))
                || (head.has(HeaderField.SENDER) && head.digits(HeaderField.SENDER) < 0)
                || ((marked || head.has(HeaderField.IDEMPOTENCY_KEY)) && !head.isHex(HeaderField.IDEMPOTENCY_KEY, 32))
                || (head.has(HeaderField.SUBJECT_KEY) && !head.isHex(HeaderField.SUBJECT_KEY, 16));
        if (wrong) {
            return null;
        }
        Duration arrival = clock.fromUnixMillis(time);
        if (arrival.minus(clock.now()).compareTo(MAX_CLOCK_SKEW) > 0) {
            return null;
        }
        String id = head.text(HeaderField.REQUEST_ID);
        return new RequestMetadata(
                new RequestId(Long.parseUnsignedLong(id, 16), id),
                index,
                tariff,
                new Timing(arrival, wait < 0 ? Optional.empty() : Optional.of(arrival.plusMillis(wait))),
                new Cost(kb, cost > 0 ? Optional.of(Duration.ofNanos((long) (cost * 1e6))) : Optional.empty()),
                head.has(HeaderField.RETRY) && head.text(HeaderField.RETRY).matches("1|true"),
                marked ? Optional.of(head.text(HeaderField.IDEMPOTENCY_KEY).toLowerCase(Locale.ROOT)) : Optional.empty(),
                head.has(HeaderField.SUBJECT_KEY) ? Optional.of(head.text(HeaderField.SUBJECT_KEY)) : Optional.empty());
    }
}
