package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Timers of the suspect members. A timeout becomes shorter as more members confirm the suspicion (Lifeguard section
 * IV-B). Not thread-safe.
 */
final class SuspicionTimers {

    /** Minimum timeout in probe periods for up to ten peers; it grows with the logarithm of the number of peers. */
    private static final int MIN_TIMEOUT_PERIODS = 4;
    /** Ratio of the maximum timeout to the minimum timeout. */
    private static final int MAX_TIMEOUT_MULTIPLIER = 6;

    private static final int MAX_EXPECTED_CONFIRMATIONS = 3;

    private static final class Suspicion {
        private final Duration startedAt;
        private final Set<String> confirmingMembers = new HashSet<>();

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

    /** Records that another member confirms the suspicion, which shortens the timeout. */
    void confirm(String name, String confirmingMember) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion != null) {
            suspicion.confirmingMembers.add(confirmingMember);
        }
    }

    /**
     * Returns the members that did not refute the suspicion in time.
     *
     * @param peerCount number of peers of this member
     * @param period probe period
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

    /** Returns a timeout that decreases from the maximum to the minimum with the logarithm of the confirmations. */
    private static Duration timeout(Suspicion suspicion, int peerCount, Duration period) {
        double minNanos = MIN_TIMEOUT_PERIODS * Math.max(1, Math.log10(Math.max(1, peerCount))) * period.toNanos();
        double maxNanos = MAX_TIMEOUT_MULTIPLIER * minNanos;
        int expectedConfirmations = Math.max(1, Math.min(MAX_EXPECTED_CONFIRMATIONS, peerCount - 2));
        double confirmation = Math.log(suspicion.confirmingMembers.size() + 1) / Math.log(expectedConfirmations + 1);
        return Duration.ofNanos(
                (long) Math.max(minNanos, maxNanos - (maxNanos - minNanos) * Math.min(1, confirmation)));
    }
}
