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
 * Determines on the leader which change of the view is due, based on the reports of all backends (multi-node cut
 * detection, Suresh et al., Rapid, 2018).
 *
 * <p>A member is removed when the number of its observers that report it unreachable reaches a high threshold. While
 * another member is unstable, between the low and the high threshold, the removal is delayed, so that members that fail
 * together are removed in one change. If the leader has no valid report of a member and at least one observer reports
 * the member unreachable, the observers without a valid report count against the member too. A partition of half the
 * network is thus removed in one change, while a single silent observer does not cause the removal of its subjects.
 *
 * <p>Times are measured from the start of the process. Not thread-safe.
 */
final class CutDetector {

    /**
     * The report of a backend, which is part of its poll.
     *
     * @param correlationId id of the poll; increases from poll to poll
     * @param viewNumber number of the view that the backend has adopted, 0 for none
     * @param termFloor highest term on the disk of the backend when it started; until the backend has adopted a view,
     *     it needs a view of a later term
     * @param heardVoters number of voters that respond to the backend
     * @param unreachable the members that the backend observes and finds unreachable
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
     * @param heardSince start of the current sequence of reports without a gap
     */
    private record TrackedReport(MemberReport report, Duration heardSince) {}

    private record RejoinPenalty(Duration removedAt, Duration duration) {}

    private static final int MAX_REPORTS = 2 * MembershipView.MAX_MEMBERS;
    /** A penalty is no longer doubled when this many times its duration has passed since the removal. */
    private static final int PENALTY_EXPIRY_FACTOR = 10;

    private final ViewSettings settings;
    private final Map<String, TrackedReport> reports = new TreeMap<>();
    private final Map<String, RejoinPenalty> penalties = new LinkedHashMap<>();
    private final Map<String, Duration> unstableSince = new TreeMap<>();
    private Set<String> pendingChange = Set.of();
    private Duration changeStartedAt = Duration.ZERO;
    private Duration changeGrewAt = Duration.ZERO;

    CutDetector(ViewSettings settings) {
        this.settings = settings;
    }

    /**
     * Records a report. A report whose correlation id is not higher than that of the last report is delayed or
     * replayed; such a report is ignored unless the last report is no longer valid.
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

    /** Discards all reports after a pause of this process, as they are out of date. */
    void clear() {
        reports.clear();
        unstableSince.clear();
        pendingChange = Set.of();
    }

    /**
     * Returns whether a restarted member needs a view of a later term, because an earlier incarnation of the member may
     * have adopted any view of the current term.
     */
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
     * Returns the members of the next view, or empty while no change is due.
     *
     * @param voters the configured voters; a report counts only if its sender hears a majority of them
     * @param rings the observer rings of the view
     * @param members looks up the membership record of a backend
     * @param validity how long a report is valid
     */
    Optional<SortedSet<String>> dueMembers(
            Duration now,
            VoterSet voters,
            MembershipView view,
            ObserverRings rings,
            Function<String, Optional<MemberRecord>> members,
            Duration validity) {
        Set<String> removed = new TreeSet<>();
        Set<String> unstable = new TreeSet<>();
        for (String name : view.members()) {
            int observers = rings.observers(name).size();
            int unreachableReports =
                    name.equals(voters.self()) ? 0 : countUnreachableReports(now, name, view, rings, voters, validity);
            boolean isUnreachable = observers > 0 && unreachableReports >= ObserverRings.highThreshold(observers);
            if (isUnreachable || hasLeft(members.apply(name))) {
                removed.add(name);
            } else if (unreachableReports >= ObserverRings.lowThreshold(observers) && observers > 0) {
                unstable.add(name);
            }
        }
        unstableSince.keySet().retainAll(unstable);
        unstable.forEach(name -> unstableSince.putIfAbsent(name, now));
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

    /** Returns whether there is a change that has stopped growing and is not delayed by an unstable member. */
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
        boolean isDelayed = !removed.isEmpty()
                && unstableSince.values().stream()
                        .anyMatch(since -> now.minus(since).compareTo(settings.maxUnstableDelay()) < 0);
        return isQuiet && !isDelayed;
    }

    /** Counts the observers that report the subject unreachable, and the silent observers where these count too. */
    private int countUnreachableReports(
            Duration now,
            String subject,
            MembershipView view,
            ObserverRings rings,
            VoterSet voters,
            Duration validity) {
        int reporting = 0;
        int silent = 0;
        for (String observer : rings.observers(subject)) {
            Optional<MemberReport> report = validReport(now, observer, validity);
            if (report.isEmpty()) {
                silent++;
            } else if (report.get().viewNumber() == view.number()
                    && report.get().heardVoters() >= voters.majority()
                    && report.get().unreachable().contains(subject)) {
                // An observer without a majority of the voters may be cut off itself, so its report does not count.
                reporting++;
            }
        }
        boolean countSilent =
                reporting > 0 && validReport(now, subject, validity).isEmpty();
        return countSilent ? reporting + silent : reporting;
    }

    private static boolean hasLeft(Optional<MemberRecord> member) {
        return member.map(MemberRecord::status).equals(Optional.of(MemberStatus.LEFT));
    }

    private boolean canJoin(
            Duration now,
            String name,
            TrackedReport last,
            VoterSet voters,
            Optional<MemberRecord> member,
            Duration validity) {
        RejoinPenalty penalty = penalties.get(name);
        return last.report.isValid(now, validity)
                && now.minus(last.heardSince).compareTo(settings.joinStabilityPeriod()) >= 0
                && last.report.heardVoters() >= voters.majority()
                && member.isPresent()
                && !hasLeft(member)
                && (penalty == null || now.minus(penalty.removedAt).compareTo(penalty.duration) >= 0);
    }

    private void penalize(Duration now, String name) {
        RejoinPenalty previous = penalties.remove(name);
        boolean isRepeated = previous != null
                && now.minus(previous.removedAt).compareTo(previous.duration.multipliedBy(PENALTY_EXPIRY_FACTOR)) < 0;
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
