package merlinlever.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Who is suspected since when and by how many, and when a suspicion that nothing refuted is held to be true (Lifeguard section IV-B). */
final class SuspicionTimers {

    private static final int MIN_TIMEOUT_PERIODS = 4;
    private static final int MAX_TIMEOUT_MULTIPLIER = 6;

    private static final class Suspicion {
        final Duration startedAt;
        final Set<String> accusers = new HashSet<>();

        Suspicion(Duration startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    void start(Duration now, String name) {
        suspicions.computeIfAbsent(name, none -> new Suspicion(now));
    }

    void cancel(String name) {
        suspicions.remove(name);
    }

    /** Independent word of the same makes it surer. */
    void confirm(String name, String accuser) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion != null) {
            suspicion.accusers.add(accuser);
        }
    }

    /** Those whose time to refute it is over. */
    List<String> expired(Duration now, int peerCount, Duration period) {
        List<String> expired = new ArrayList<>();
        suspicions.forEach((name, suspicion) -> {
            if (now.minus(suspicion.startedAt).compareTo(timeout(suspicion, peerCount, period)) >= 0) {
                expired.add(name);
            }
        });
        return expired;
    }

    /** From the longest towards the shortest as others say the same. */
    private static Duration timeout(Suspicion suspicion, int peerCount, Duration period) {
        double minimumNanos = MIN_TIMEOUT_PERIODS * Math.max(1, Math.log10(Math.max(1, peerCount))) * period.toNanos();
        double maximumNanos = MAX_TIMEOUT_MULTIPLIER * minimumNanos;
        int expectedAccusers = Math.max(1, Math.min(3, peerCount - 2));
        double confirmation = Math.log(suspicion.accusers.size() + 1) / Math.log(expectedAccusers + 1);
        return Duration.ofNanos((long) Math.max(minimumNanos, maximumNanos - (maximumNanos - minimumNanos) * Math.min(1, confirmation)));
    }
}
