package merlinlever.dns.record;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.OptionalLong;

/** Parses durations in zone file syntax. */
public final class TimeToLive {

    private TimeToLive() {}

    /**
     * Parses a number of seconds, or a duration with units such as 1w2d3h4m5s. Returns empty if the text is malformed
     * or the duration exceeds the maximum time to live.
     */
    public static OptionalLong parseSeconds(String text) {
        long seconds = Digits.parse(text, ResourceRecord.MAX_TTL_SECONDS);
        return seconds >= 0 ? OptionalLong.of(seconds) : parseParts(text);
    }

    private static OptionalLong parseParts(String text) {
        long sum = 0;
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            long unit = unitSeconds(text.charAt(i));
            if (unit > 0) {
                long count = Digits.parse(text.substring(start, i), ResourceRecord.MAX_TTL_SECONDS);
                if (count < 0) {
                    return OptionalLong.empty();
                }
                sum += count * unit;
                start = i + 1;
            }
        }
        boolean isComplete = start == text.length() && start > 0;
        return isComplete && sum >= 0 && sum <= ResourceRecord.MAX_TTL_SECONDS
                ? OptionalLong.of(sum)
                : OptionalLong.empty();
    }

    private static long unitSeconds(char unit) {
        return switch (Character.toLowerCase(unit)) {
            case 's' -> 1;
            case 'm' -> Duration.ofMinutes(1).toSeconds();
            case 'h' -> Duration.ofHours(1).toSeconds();
            case 'd' -> Duration.ofDays(1).toSeconds();
            case 'w' -> ChronoUnit.WEEKS.getDuration().toSeconds();
            default -> 0;
        };
    }
}
