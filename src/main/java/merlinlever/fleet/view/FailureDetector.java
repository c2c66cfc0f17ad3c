package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What one observer finds of its subjects: each is probed periodically, and found unreachable when no answer came for some time. An
 * answer counts once, at the moment it comes, however late: a slow link is no failure. Times are since the process began. Not
 * thread-safe.
 */
final class FailureDetector {

    /** A probe to be sent. */
    record Probe(String subject, long correlationId) {}

    private record PendingProbe(String subject, Duration sentAt) {}

    private final ViewSettings settings;
    private final SplittableRandom random;
    /** When each subject last answered, or began to be observed. */
    private final Map<String, Duration> lastHeardAt = new TreeMap<>();

    private final Map<String, Duration> nextProbeAt = new TreeMap<>();
    /** Probes that may still be answered: at most those of twice {@link ViewSettings#unreachableAfter}. */
    private final Map<Long, PendingProbe> pendingProbes = new LinkedHashMap<>();

    private long lastCorrelationId;

    /**
     * A detector without subjects.
     *
     * @param firstCorrelationId which no other incarnation of this backend comes near
     */
    FailureDetector(ViewSettings settings, long firstCorrelationId, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        lastCorrelationId = firstCorrelationId;
    }

    /** Observes these from now on; what is known of those that stay is kept. */
    void setSubjects(Duration now, List<String> subjects) {
        lastHeardAt.keySet().retainAll(subjects);
        nextProbeAt.keySet().retainAll(subjects);
        for (String subject : subjects) {
            lastHeardAt.putIfAbsent(subject, now);
            // Drawn also for one that is observed already, so that a seed gives the same run as ever.
            Duration firstProbeAt =
                    now.plusNanos(random.nextLong(settings.probeInterval().toNanos()));
            nextProbeAt.putIfAbsent(subject, firstProbeAt);
        }
    }

    /** This process was paused: it knows nothing of how long the subjects were silent. */
    void restartObservation(Duration now) {
        pendingProbes.clear();
        lastHeardAt.replaceAll((subject, heardAt) -> now);
    }

    /** The probes to be sent now. */
    List<Probe> dueProbes(Duration now) {
        List<Probe> probes = new ArrayList<>();
        for (Map.Entry<String, Duration> next : nextProbeAt.entrySet()) {
            if (now.compareTo(next.getValue()) >= 0) {
                String subject = next.getKey();
                next.setValue(now.plus(settings.probeInterval()));
                lastCorrelationId++;
                pendingProbes.put(lastCorrelationId, new PendingProbe(subject, now));
                probes.add(new Probe(subject, lastCorrelationId));
            }
        }
        if (!probes.isEmpty()) {
            Duration retention = settings.unreachableAfter().multipliedBy(2);
            pendingProbes.values().removeIf(probe -> now.minus(probe.sentAt).compareTo(retention) > 0);
        }
        return probes;
    }

    /** A peer answered the probe of that correlation id; ignored where none is pending for it. */
    void recordAnswer(Duration now, String sender, long correlationId) {
        PendingProbe probe = pendingProbes.get(correlationId);
        if (probe != null && probe.subject.equals(sender)) {
            pendingProbes.remove(correlationId);
            lastHeardAt.computeIfPresent(sender, (subject, heardAt) -> now);
        }
    }

    /** The subjects that have answered nothing for {@link ViewSettings#unreachableAfter}. */
    List<String> unreachable(Duration now) {
        List<String> unreachable = new ArrayList<>();
        lastHeardAt.forEach((subject, heardAt) -> {
            if (now.minus(heardAt).compareTo(settings.unreachableAfter()) >= 0) {
                unreachable.add(subject);
            }
        });
        return unreachable;
    }

    /** Whether any subject is reachable; false where there is none. */
    boolean isAnyReachable(Duration now) {
        return lastHeardAt.size() > unreachable(now).size();
    }
}
