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

    private static final int SHORTEST = 4;
    private static final int LONGEST = 6;

    private static final class Suspicion {
        final Duration since;
        final Set<String> by = new HashSet<>();

        Suspicion(Duration since) {
            this.since = since;
        }
    }

    private final Map<String, Suspicion> all = new LinkedHashMap<>();

    void begin(Duration now, String name) {
        all.computeIfAbsent(name, none -> new Suspicion(now));
    }

    void end(String name) {
        all.remove(name);
    }

    /** Independent word of the same makes it surer. */
    void alsoBy(String name, String from) {
        Suspicion suspicion = all.get(name);
        if (suspicion != null) {
            suspicion.by.add(from);
        }
    }

    /** Those whose time to refute it is over. */
    List<String> over(Duration now, int others, Duration period) {
        List<String> over = new ArrayList<>();
        all.forEach((name, suspicion) -> {
            if (now.minus(suspicion.since).compareTo(patience(suspicion, others, period)) >= 0) {
                over.add(name);
            }
        });
        return over;
    }

    /** From the longest towards the shortest as others say the same. */
    private static Duration patience(Suspicion suspicion, int others, Duration period) {
        double shortest = SHORTEST * Math.max(1, Math.log10(Math.max(1, others))) * period.toNanos();
        double longest = LONGEST * shortest;
        int wanted = Math.max(1, Math.min(3, others - 2));
        double share = Math.log(suspicion.by.size() + 1) / Math.log(wanted + 1);
        return Duration.ofNanos((long) Math.max(shortest, longest - (longest - shortest) * Math.min(1, share)));
    }
}
