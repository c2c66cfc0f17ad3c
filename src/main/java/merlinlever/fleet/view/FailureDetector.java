package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Probes the subjects of one observer periodically and considers a subject unreachable after some time without an
 * answer. Each answer counts once, at the time it arrives; a late answer counts too, as a slow link is not a failure.
 * Times are measured from the start of the process. Not thread-safe.
 */
final class FailureDetector {

    /** A probe to be sent. */
    record Probe(String subject, long correlationId) {}

    private record PendingProbe(String subject, Duration sentAt) {}

    private final ViewSettings settings;
    private final SplittableRandom random;
    /** When each subject last answered; until the first answer, when its observation began. */
    private final Map<String, Duration> lastHeardAt = new TreeMap<>();

    private final Map<String, Duration> nextProbeAt = new TreeMap<>();
    /** Unanswered probes; a probe expires after twice {@link ViewSettings#unreachableAfter}. */
    private final Map<Long, PendingProbe> pendingProbes = new LinkedHashMap<>();

    private long lastCorrelationId;

    /**
     * Creates a detector without subjects.
     *
     * @param firstCorrelationId an id that is far from the ids of other incarnations of this backend
     */
    FailureDetector(ViewSettings settings, long firstCorrelationId, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        lastCorrelationId = firstCorrelationId;
    }

    /** Replaces the subjects; the observations of subjects that were observed before are kept. */
    void setSubjects(Duration now, List<String> subjects) {
        lastHeardAt.keySet().retainAll(subjects);
        nextProbeAt.keySet().retainAll(subjects);
        for (String subject : subjects) {
            lastHeardAt.putIfAbsent(subject, now);
            // A delay is drawn even for a subject that was observed before, which keeps seeded runs reproducible.
            Duration firstProbeAt =
                    now.plusNanos(random.nextLong(settings.probeInterval().toNanos()));
            nextProbeAt.putIfAbsent(subject, firstProbeAt);
        }
    }

    /** Restarts all observations after a pause of this process, in which answers may have been missed. */
    void restartObservation(Duration now) {
        pendingProbes.clear();
        lastHeardAt.replaceAll((subject, heardAt) -> now);
    }

    /** Returns the probes to be sent now, and records them as pending. */
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

    /** Records the answer to a probe; ignored if the sender has no pending probe with the correlation id. */
    void recordAnswer(Duration now, String sender, long correlationId) {
        PendingProbe probe = pendingProbes.get(correlationId);
        if (probe != null && probe.subject.equals(sender)) {
            pendingProbes.remove(correlationId);
            lastHeardAt.computeIfPresent(sender, (subject, heardAt) -> now);
        }
    }

    /** Returns the subjects without an answer for {@link ViewSettings#unreachableAfter}. */
    List<String> unreachable(Duration now) {
        List<String> unreachable = new ArrayList<>();
        lastHeardAt.forEach((subject, heardAt) -> {
            if (now.minus(heardAt).compareTo(settings.unreachableAfter()) >= 0) {
                unreachable.add(subject);
            }
        });
        return unreachable;
    }

    /** Returns whether at least one subject is reachable. */
    boolean isAnyReachable(Duration now) {
        return lastHeardAt.size() > unreachable(now).size();
    }
}
