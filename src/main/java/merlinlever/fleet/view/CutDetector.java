package merlinlever.fleet.view;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;

/**
 * Which change of the view is due, as the leader counts it from the reports of all backends (Suresh et al., Rapid, 2018). A member
 * is removed when a high threshold of its observers report it unreachable; while another one is between the low and the high
 * threshold the change waits for that one, so that members that fail together leave in one change. An observer that the leader
 * does not hear either is counted against a member that it does not hear and that somebody reports unreachable: so half a network
 * leaves at once, and one silent observer takes nobody along. Times are since the process began. Not thread-safe.
 */
final class CutDetector {

    /**
     * What a backend reported last.
     *
     * @param correlationId of the poll that it came with; later polls have higher ones
     * @param viewNumber of the view that it has adopted, 0 for none
     * @param termFloor where it has adopted none: it adopts none of this term or an earlier one
     * @param heardVoters how many voters answer it
     * @param unreachable the members that it observes and finds unreachable
     */
    record MemberReport(
            Duration receivedAt,
            long correlationId,
            long viewNumber,
            long termFloor,
            int heardVoters,
            List<String> unreachable) {

        MemberReport {
            unreachable = List.copyOf(unreachable);
        }

        private boolean isValid(Duration now, Duration validity) {
            return now.minus(receivedAt).compareTo(validity) < 0;
        }
    }

    /**
     * The last report of a backend.
     *
     * @param heardSince its reports have come without a gap from then on
     */
    private record TrackedReport(MemberReport report, Duration heardSince) {}

    private record RejoinPenalty(Duration removedAt, Duration duration) {}

    private static final int MAX_REPORTS = 2 * MembershipView.MAX_MEMBERS;
    /** A penalty is forgotten after this many times its duration. */
    private static final int FORGIVENESS_FACTOR = 10;

    private final ViewSettings settings;
    private final Map<String, TrackedReport> reports = new TreeMap<>();
    private final Map<String, RejoinPenalty> penalties = new LinkedHashMap<>();
    private final Map<String, Duration> doubtfulSince = new TreeMap<>();
    private Set<String> pendingChange = Set.of();
    private Duration changeStartedAt = Duration.ZERO;
    private Duration changeGrewAt = Duration.ZERO;

    CutDetector(ViewSettings settings) {
        this.settings = settings;
    }

    /**
     * Takes in a report. One that belongs to an older poll than the last is late or replayed and is ignored, unless its sender was
     * silent for longer than the validity.
     */
    void recordReport(String member, MemberReport report, Duration validity) {
        Duration now = report.receivedAt();
        TrackedReport previous = reports.get(member);
        boolean isContinuous = previous != null && previous.report.isValid(now, validity);
        if (isContinuous && report.correlationId() <= previous.report.correlationId()) {
            return;
        }
        if (previous == null && reports.size() >= MAX_REPORTS) {
            reports.values().removeIf(tracked -> !tracked.report.isValid(now, validity));
            if (reports.size() >= MAX_REPORTS) {
                return;
            }
        }
        reports.put(member, new TrackedReport(report, isContinuous ? previous.heardSince : now));
    }

    private Optional<MemberReport> validReport(Duration now, String member, Duration validity) {
        TrackedReport last = reports.get(member);
        return last != null && last.report.isValid(now, validity) ? Optional.of(last.report) : Optional.empty();
    }

    /** This process was paused: what it counted before says nothing any more. */
    void clear() {
        reports.clear();
        doubtfulSince.clear();
        pendingChange = Set.of();
    }

    /** Whether a restarted member needs a view of a later term, as it may have held any of this one before. */
    boolean isMemberWaitingForLaterTerm(Duration now, MembershipView view, Duration validity) {
        for (String member : view.members()) {
            Optional<MemberReport> report = validReport(now, member, validity);
            if (report.isPresent()
                    && report.get().viewNumber() == 0
                    && report.get().termFloor() >= view.term()) {
                return true;
            }
        }
        return false;
    }

    /**
     * The members of the next view; empty while no change is due.
     *
     * @param voters a report counts only where its sender hears a majority of them
     * @param rings of the view
     * @param members what membership knows of a backendhing
     * @param validity how long a report counts
     */
    Optional<SortedSet<String>> dueMembers(
            Duration now,
            VoterSet voters,
            MembershipView view,
            ObserverRings rings,
            Function<String, Optional<MemberRecord>> members,
            Duration validity) {
        Set<String> removed = new TreeSet<>();
        Set<String> doubtful = new TreeSet<>();
        for (String name : view.members()) {
            int observers = rings.observers(name).size();
            int accusations =
                    name.equals(voters.self()) ? 0 : countAccusations(now, name, view, rings, voters, validity);
            boolean isAccused = observers > 0 && accusations >= ObserverRings.removalThreshold(observers);
            if (isAccused || hasLeft(members.apply(name))) {
                removed.add(name);
            } else if (accusations >= ObserverRings.doubtThreshold(observers) && observers > 0) {
                doubtful.add(name);
            }
        }
        doubtfulSince.keySet().retainAll(doubtful);
        doubtful.forEach(name -> doubtfulSince.putIfAbsent(name, now));
        Set<String> joining = new TreeSet<>();
        reports.forEach((name, tracked) -> {
            if (!view.members().contains(name)
                    && canJoin(now, name, tracked, voters, members.apply(name), validity)
                    && view.members().size() - removed.size() + joining.size() < MembershipView.MAX_MEMBERS) {
                joining.add(name);
            }
        });
        if (!isChangeSettled(now, removed, joining)) {
            return Optional.empty();
        }
        pendingChange = Set.of();
        removed.forEach(name -> penalize(now, name));
        SortedSet<String> next = new TreeSet<>(view.members());
        next.removeAll(removed);
        next.addAll(joining);
        return Optional.of(next);
    }

    /** Whether there is a change, nothing was added to it for a while, and no doubtful member holds it up. */
    private boolean isChangeSettled(Duration now, Set<String> removed, Set<String> joining) {
        Set<String> change = new TreeSet<>(removed);
        change.addAll(joining);
        if (change.isEmpty()) {
            pendingChange = Set.of();
            return false;
        }
        if (pendingChange.isEmpty()) {
            changeStartedAt = now;
        }
        if (!pendingChange.containsAll(change)) {
            changeGrewAt = now;
        }
        pendingChange = change;
        boolean isQuiet = now.minus(changeGrewAt).compareTo(settings.quietPeriod()) >= 0
                || now.minus(changeStartedAt).compareTo(settings.maxBatchingDelay()) >= 0;
        boolean isHeldUp = !removed.isEmpty()
                && doubtfulSince.values().stream()
                        .anyMatch(since -> now.minus(since).compareTo(settings.maxDoubtDelay()) < 0);
        return isQuiet && !isHeldUp;
    }

    /** How many observers of the subject count against it. */
    private int countAccusations(
            Duration now,
            String subject,
            MembershipView view,
            ObserverRings rings,
            VoterSet voters,
            Duration validity) {
        int accusing = 0;
        int silent = 0;
        for (String observer : rings.observers(subject)) {
            Optional<MemberReport> report = validReport(now, observer, validity);
            if (report.isEmpty()) {
                silent++;
            } else if (report.get().viewNumber() == view.number()
                    && report.get().heardVoters() >= voters.majority()
                    && report.get().unreachable().contains(subject)) {
                // Only of an observer that hears enough itself: it may be the one that is cut off.
                accusing++;
            }
        }
        boolean countSilent =
                accusing > 0 && validReport(now, subject, validity).isEmpty();
        return countSilent ? accusing + silent : accusing;
    }

    private static boolean hasLeft(Optional<MemberRecord> known) {
        return known.map(MemberRecord::status).equals(Optional.of(MemberStatus.LEFT));
    }

    private boolean canJoin(
            Duration now,
            String name,
            TrackedReport last,
            VoterSet voters,
            Optional<MemberRecord> known,
            Duration validity) {
        RejoinPenalty penalty = penalties.get(name);
        return last.report.isValid(now, validity)
                && now.minus(last.heardSince).compareTo(settings.joinStabilityPeriod()) >= 0
                && last.report.heardVoters() >= voters.majority()
                && known.isPresent()
                && !hasLeft(known)
                && (penalty == null || now.minus(penalty.removedAt).compareTo(penalty.duration) >= 0);
    }

    private void penalize(Duration now, String name) {
        RejoinPenalty previous = penalties.remove(name);
        boolean isRepeated = previous != null
                && now.minus(previous.removedAt).compareTo(previous.duration.multipliedBy(FORGIVENESS_FACTOR)) < 0;
        Duration duration = isRepeated ? previous.duration.multipliedBy(2) : settings.initialRejoinPenalty();
        if (duration.compareTo(settings.maxRejoinPenalty()) > 0) {
            duration = settings.maxRejoinPenalty();
        }
        penalties.put(name, new RejoinPenalty(now, duration));
        if (penalties.size() > MAX_REPORTS) {
            penalties.remove(penalties.keySet().iterator().next());
        }
    }
}
