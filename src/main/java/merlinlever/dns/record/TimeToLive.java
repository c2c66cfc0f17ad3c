package merlinlever.dns.record;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.OptionalLong;

/** Times of records as they are written in zone files. */
public final class TimeToLive {

    private TimeToLive() {}

    /** Seconds of digits, or of parts such as 1w2d3h4m5s; empty where malformed or over the longest time to live. */
    public static OptionalLong parseSeconds(String word) {
        long seconds = Digits.parse(word, ResourceRecord.MAX_TTL_SECONDS);
        return seconds >= 0 ? OptionalLong.of(seconds) : parseParts(word);
    }

    private static OptionalLong parseParts(String word) {
        long sum = 0;
        int start = 0;
        for (int i = 0; i < word.length(); i++) {
            long unit = unitSeconds(word.charAt(i));
            if (unit > 0) {
                long count = Digits.parse(word.substring(start, i), ResourceRecord.MAX_TTL_SECONDS);
                if (count < 0) {
                    return OptionalLong.empty();
                }
                sum += count * unit;
                start = i + 1;
            }
        }
        boolean isWhole = start == word.length() && start > 0;
        return isWhole && sum >= 0 && sum <= ResourceRecord.MAX_TTL_SECONDS
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
