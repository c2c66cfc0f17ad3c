package merlinlever.backend.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import merlinlever.backend.RequestMetadata;
import merlinlever.backend.RequestMetadata.Cost;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.backend.http.RequestHead.HeaderField;
import merlinlever.common.net.MonotonicClock;
import merlinlever.controller.settings.PriorityClassSettings;

/** Extracts the metadata of a request from its head, and validates the format and the range of each field. */
final class RequestMetadataParser {

    private static final double MAX_KB = 2000;
    private static final long MAX_WAIT_MS = 3_600_000;
    /** Maximum Unix time in milliseconds; a larger value may overflow when converted to nanoseconds. */
    private static final long MAX_UNIX_MS = 9_000_000_000_000L;
    /** Maximum time by which the send time of a request may be ahead of this server's clock. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(5);

    private static final int REQUEST_ID_DIGITS = 16;
    private static final int IDEMPOTENCY_KEY_DIGITS = 32;
    private static final int SUBJECT_KEY_DIGITS = 16;
    private static final double NANOS_PER_MS = 1e6;

    private final List<PriorityClassSettings> priorityClasses;
    private final MonotonicClock clock;

    /** @param priorityClasses the priority classes, by class index */
    RequestMetadataParser(List<PriorityClassSettings> priorityClasses, MonotonicClock clock) {
        this.priorityClasses = priorityClasses;
        this.clock = clock;
    }

    /** Returns the request's metadata, or empty if a field is missing, malformed or out of range. */
    Optional<RequestMetadata> parse(RequestHead head, String className, int classIndex) {
        boolean needsKey = priorityClasses.get(classIndex).isIdempotentByKey();
        double kb = head.number(HeaderField.MEMORY_KB);
        double costMs = optionalNumber(head, HeaderField.EXPECTED_COST);
        if (!hasValidTimes(head) || !areValidCosts(kb, costMs) || !hasValidRank(head) || !hasValidIds(head, needsKey)) {
            return Optional.empty();
        }
        Duration arrival = clock.fromUnixMillis(head.digits(HeaderField.SENT_AT));
        if (arrival.minus(clock.now()).compareTo(MAX_CLOCK_SKEW) > 0) {
            return Optional.empty();
        }
        String id = head.text(HeaderField.REQUEST_ID);
        long waitMs = head.digits(HeaderField.MAX_WAIT);
        return Optional.of(new RequestMetadata(
                new RequestId(Long.parseUnsignedLong(id, 16), id),
                classIndex,
                className,
                new Timing(arrival, waitMs < 0 ? Optional.empty() : Optional.of(arrival.plusMillis(waitMs))),
                new Cost(kb, costMs > 0 ? Optional.of(millis(costMs)) : Optional.empty()),
                isRetry(head),
                needsKey
                        ? Optional.of(head.text(HeaderField.IDEMPOTENCY_KEY).toLowerCase(Locale.ROOT))
                        : Optional.empty(),
                head.has(HeaderField.SUBJECT_KEY)
                        ? Optional.of(head.text(HeaderField.SUBJECT_KEY))
                        : Optional.empty()));
    }

    private static Duration millis(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MS));
    }

    private static boolean hasValidTimes(RequestHead head) {
        long sentAt = head.digits(HeaderField.SENT_AT);
        if (sentAt < 0 || sentAt > MAX_UNIX_MS) {
            return false;
        }
        long waitMs = head.digits(HeaderField.MAX_WAIT);
        return !head.has(HeaderField.MAX_WAIT) || (waitMs >= 0 && waitMs <= MAX_WAIT_MS);
    }

    /** Returns whether both values are in range; the comparisons also reject NaN. */
    private static boolean areValidCosts(double kb, double costMs) {
        return kb > 0 && kb < MAX_KB && costMs >= 0 && costMs < MAX_WAIT_MS;
    }

    private static boolean hasValidRank(RequestHead head) {
        double rank = optionalNumber(head, HeaderField.RANK);
        return rank >= 0 && rank < 1;
    }

    private static boolean hasValidIds(RequestHead head, boolean needsKey) {
        if (!head.isHex(HeaderField.REQUEST_ID, REQUEST_ID_DIGITS)) {
            return false;
        }
        if (head.has(HeaderField.SENDER) && head.digits(HeaderField.SENDER) < 0) {
            return false;
        }
        boolean checksKey = needsKey || head.has(HeaderField.IDEMPOTENCY_KEY);
        if (checksKey && !head.isHex(HeaderField.IDEMPOTENCY_KEY, IDEMPOTENCY_KEY_DIGITS)) {
            return false;
        }
        return !head.has(HeaderField.SUBJECT_KEY) || head.isHex(HeaderField.SUBJECT_KEY, SUBJECT_KEY_DIGITS);
    }

    private static double optionalNumber(RequestHead head, HeaderField field) {
        return head.has(field) ? head.number(field) : 0;
    }

    private static boolean isRetry(RequestHead head) {
        if (!head.has(HeaderField.RETRY)) {
            return false;
        }
        String value = head.text(HeaderField.RETRY);
        return value.equals("1") || value.equals("true");
    }
}
