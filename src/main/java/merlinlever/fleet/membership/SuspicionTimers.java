package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who is suspected since when and by how many, and when a suspicion that nothing refuted is taken as true (Lifeguard section
 * IV-B). Not thread-safe.
 */
final class SuspicionTimers {

    /** The shortest timeout, in periods for each power of ten of the members. */
    private static final int MIN_TIMEOUT_PERIODS = 4;
    /** The longest timeout as a multiple of the shortest. */
    private static final int MAX_TIMEOUT_MULTIPLIER = 6;

    private static final int MAX_EXPECTED_CONFIRMATIONS = 3;

    private static final class Suspicion {
        private final Duration startedAt;
        private final Set<String> accusers = new HashSet<>();

        Suspicion(Duration startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    void start(Duration now, String name) {
        suspicions.computeIfAbsent(name, absent -> new Suspicion(now));
    }

    void cancel(String name) {
        suspicions.remove(name);
    }

    /** Another member suspects the same, which makes the timeout shorter. */
    void confirm(String name, String accuser) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion != null) {
            suspicion.accusers.add(accuser);
        }
    }

    /**
     * The members whose time to refute the suspicion is over.
     *
     * @param peerCount how many peers this member has
     * @param period of probing
     */
    List<String> expired(Duration now, int peerCount, Duration period) {
        List<String> expired = new ArrayList<>();
        suspicions.forEach((name, suspicion) -> {
            if (now.minus(suspicion.startedAt).compareTo(timeout(suspicion, peerCount, period)) >= 0) {
                expired.add(name);
            }
        });
        return expired;
    }

    /** From the longest towards the shortest timeout, by the logarithm of the confirmations. */
    private static Duration timeout(Suspicion suspicion, int peerCount, Duration period) {
        double shortestNanos = MIN_TIMEOUT_PERIODS * Math.max(1, Math.log10(Math.max(1, peerCount))) * period.toNanos();
        double longestNanos = MAX_TIMEOUT_MULTIPLIER * shortestNanos;
        int expectedConfirmations = Math.max(1, Math.min(MAX_EXPECTED_CONFIRMATIONS, peerCount - 2));
        double confirmation = Math.log(suspicion.accusers.size() + 1) / Math.log(expectedConfirmations + 1);
        return Duration.ofNanos((long)
                Math.max(shortestNanos, longestNanos - (longestNanos - shortestNanos) * Math.min(1, confirmation)));
    }
}
