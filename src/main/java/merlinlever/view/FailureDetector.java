package merlinlever.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What one observer finds of its subjects: each is asked every so often, and held gone when no answer came for so long. An
 * answer counts once, when it comes, however late: a slow link is no death. Times are since the process began.
 */
final class FailureDetector {

    /** A question to be put. */
    record Probe(String subject, long correlationId) {}

    private record PendingProbe(String subject, Duration sentAt) {}

    private final ViewSettings settings;
    private final SplittableRandom random;
    /** When each subject last answered, or began to be asked. */
    private final Map<String, Duration> lastHeardAt = new TreeMap<>();

    private final Map<String, Duration> nextProbeAt = new TreeMap<>();
    /** Questions that may be answered still: what is asked of all subjects in twice the silence, at the most. */
    private final Map<Long, PendingProbe> pendingProbes = new LinkedHashMap<>();

    private long lastCorrelationId;

    /** @param first number of its questions, which no other life comes near */
    FailureDetector(ViewSettings settings, long first, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        lastCorrelationId = first;
    }

    /** From here on these are observed; what is known of those that stay is kept. */
    void setSubjects(Duration now, List<String> names) {
        lastHeardAt.keySet().retainAll(names);
        nextProbeAt.keySet().retainAll(names);
        for (String name : names) {
            lastHeardAt.putIfAbsent(name, now);
            nextProbeAt.putIfAbsent(
                    name, now.plusNanos(random.nextLong(settings.probeInterval().toNanos())));
        }
    }

    /** This one stood still: it knows nothing of how long the others were silent. */
    void restartObservation(Duration now) {
        pendingProbes.clear();
        lastHeardAt.replaceAll((name, at) -> now);
    }

    List<Probe> dueProbes(Duration now) {
        List<Probe> asks = new ArrayList<>();
        for (Map.Entry<String, Duration> entry : nextProbeAt.entrySet()) {
            if (now.compareTo(entry.getValue()) >= 0) {
                entry.setValue(now.plus(settings.probeInterval()));
                pendingProbes.put(++lastCorrelationId, new PendingProbe(entry.getKey(), now));
                asks.add(new Probe(entry.getKey(), lastCorrelationId));
            }
        }
        if (!asks.isEmpty()) {
            pendingProbes.values()
                    .removeIf(each ->
                            now.minus(each.sentAt).compareTo(settings.unreachableAfter().multipliedBy(2)) > 0);
        }
        return asks;
    }

    void recordAnswer(Duration now, String name, long number) {
        PendingProbe asked = pendingProbes.get(number);
        if (asked != null && asked.subject.equals(name)) {
            pendingProbes.remove(number);
            lastHeardAt.computeIfPresent(name, (same, at) -> now);
        }
    }

    /** Those that it holds gone. */
    List<String> unreachable(Duration now) {
        List<String> gone = new ArrayList<>();
        lastHeardAt.forEach((name, at) -> {
            if (now.minus(at).compareTo(settings.unreachableAfter()) >= 0) {
                gone.add(name);
            }
        });
        return gone;
    }

    /** Whether anybody is heard. */
    boolean isAnyReachable(Duration now) {
        return lastHeardAt.size() > unreachable(now).size();
    }
}
