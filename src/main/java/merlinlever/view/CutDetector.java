package merlinlever.view;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import merlinlever.membership.MemberTable;

/**
 * Which change of the view is due, as whoever leads counts it from what all tell it (Suresh et al., Rapid, 2018): one is
 * taken out when a high mark of its observers hold it gone, and while another is between the low and the high mark the cut
 * waits for that one, so what falls together is one change. An observer that the leader does not hear either is counted
 * against one that it does not hear and that somebody holds gone: so half a network goes at once, and one mute observer
 * takes nobody along. Times are since the process began.
 */
final class CutDetector {

    /**
     * What a backend told last.
     *
     * @param correlationId of the question that it came with
     * @param heardSince it was heard without a gap from then on
     * @param viewNumber the number of the one that it holds
     * @param termFloor where it holds none: it takes none of that term or before
     * @param heardVoters voters that answer it
     * @param unreachable subjects that it holds gone
     */
    record MemberReport(
            Duration receivedAt, long correlationId, Duration heardSince, long viewNumber, long termFloor, int heardVoters, List<String> unreachable) {}

    /** Taken out, and how long it stays so. */
    private record RejoinPenalty(Duration removedAt, Duration duration) {}

    /** Backends of which it keeps what they told, at the most. */
    private static final int MAX_REPORTS = 2 * MembershipView.MAX_MEMBERS;
    /** A penalty is forgotten after so many of it. */
    private static final int FORGIVENESS_FACTOR = 10;

    private final ViewSettings settings;
    private final Map<String, MemberReport> reports = new TreeMap<>();
    private final Map<String, RejoinPenalty> penalties = new LinkedHashMap<>();
    private final Map<String, Duration> doubtfulSince = new TreeMap<>();
    private Set<String> pendingChange = Set.of();
    private Duration changeStartedAt = Duration.ZERO, changeGrewAt = Duration.ZERO;

    CutDetector(ViewSettings settings) {
        this.settings = settings;
    }

    /** One told; an older question than its last is a late or a replayed one, unless it was silent since. */
    void recordReport(
            Duration now,
            String name,
            long number,
            long view,
            long floor,
            int hears,
            List<String> gone,
            Duration within) {
        MemberReport before = reports.get(name);
        boolean fresh = before != null && now.minus(before.receivedAt).compareTo(within) < 0;
        if (fresh && number <= before.correlationId) {
            return;
        }
        if (before == null && reports.size() >= MAX_REPORTS) {
            reports.values().removeIf(each -> now.minus(each.receivedAt).compareTo(within) >= 0);
            if (reports.size() >= MAX_REPORTS) {
                return;
            }
        }
        reports.put(name, new MemberReport(now, number, fresh ? before.heardSince : now, view, floor, hears, gone));
    }

    private MemberReport recentReport(Duration now, String name, Duration within) {
        MemberReport last = reports.get(name);
        return last != null && now.minus(last.receivedAt).compareTo(within) < 0 ? last : null;
    }

    /** This one stood still. */
    void clear() {
        reports.clear();
        doubtfulSince.clear();
        pendingChange = Set.of();
    }

    /** Whether a member waits for a view of a later term than this, as it may have held any of this one before it began anew. */
    boolean isMemberWaitingForLaterTerm(Duration now, MembershipView view, Duration within) {
        for (String name : view.members()) {
            MemberReport last = recentReport(now, name, within);
            if (last != null && last.viewNumber == 0 && last.termFloor >= view.term()) {
                return true;
            }
        }
        return false;
    }

    /** How many observers of it count against it. */
    private int countAccusations(
            Duration now, String name, MembershipView view, ObserverRings rings, int most, Duration within) {
        int real = 0;
        int mute = 0;
        for (String observer : rings.observers(name)) {
            MemberReport last = recentReport(now, observer, within);
            if (last == null) {
                mute++;
            } else if (last.viewNumber == view.number() && last.heardVoters >= most && last.unreachable.contains(name)) {
                // Only of one that hears enough itself: it may be the deaf one.
                real++;
            }
        }
        return real > 0 && recentReport(now, name, within) == null ? real + mute : real;
    }

    /**
     * The members of the next view, or null while none is due.
     *
     * @param most more than half of the voters
     */
    SortedSet<String> dueMembers(
            Duration now,
            String self,
            MembershipView view,
            ObserverRings rings,
            int most,
            Function<String, MemberTable.MemberRecord> members,
            Duration within) {
        Set<String> out = new TreeSet<>();
        Set<String> doubtful = new TreeSet<>();
        for (String name : view.members()) {
            int observers = rings.observers(name).size();
            int against = name.equals(self) ? 0 : countAccusations(now, name, view, rings, most, within);
            if (against >= ObserverRings.removalThreshold(observers) && observers > 0 || hasLeft(members.apply(name))) {
                out.add(name);
            } else if (against >= ObserverRings.doubtThreshold(observers) && observers > 0) {
                doubtful.add(name);
            }
        }
        doubtfulSince.keySet().retainAll(doubtful);
        doubtful.forEach(name -> doubtfulSince.putIfAbsent(name, now));
        Set<String> in = new TreeSet<>();
        reports.forEach((name, last) -> {
            if (!view.members().contains(name)
                    && canJoin(now, name, last, most, members.apply(name), within)
                    && view.members().size() - out.size() + in.size() < MembershipView.MAX_MEMBERS) {
                in.add(name);
            }
        });
        Set<String> all = new TreeSet<>(out);
        all.addAll(in);
        if (all.isEmpty()) {
            pendingChange = Set.of();
            return null;
        }
        changeStartedAt = pendingChange.isEmpty() ? now : changeStartedAt;
        changeGrewAt = pendingChange.containsAll(all) ? changeGrewAt : now;
        pendingChange = all;
        boolean waits =
                doubtfulSince.values().stream().anyMatch(since -> now.minus(since).compareTo(settings.maxDoubtDelay()) < 0);
        boolean quiet = now.minus(changeGrewAt).compareTo(settings.quietPeriod()) >= 0
                || now.minus(changeStartedAt).compareTo(settings.maxBatchingDelay()) >= 0;
        if (waits && !out.isEmpty() || !quiet) {
            return null;
        }
        pendingChange = Set.of();
        out.forEach(name -> penalize(now, name));
        SortedSet<String> next = new TreeSet<>(view.members());
        next.removeAll(out);
        next.addAll(in);
        return next;
    }

    private static boolean hasLeft(MemberTable.MemberRecord known) {
        return known != null && known.status() == MemberTable.MemberStatus.LEFT;
    }

    private boolean canJoin(
            Duration now, String name, MemberReport last, int most, MemberTable.MemberRecord known, Duration within) {
        RejoinPenalty penalty = penalties.get(name);
        return now.minus(last.receivedAt).compareTo(within) < 0
                && now.minus(last.heardSince).compareTo(settings.joinStabilityPeriod()) >= 0
                && last.heardVoters >= most
                && known != null
                && !hasLeft(known)
                && (penalty == null || now.minus(penalty.removedAt).compareTo(penalty.duration) >= 0);
    }

    private void penalize(Duration now, String name) {
        RejoinPenalty before = penalties.remove(name);
        boolean again = before != null && now.minus(before.removedAt).compareTo(before.duration.multipliedBy(FORGIVENESS_FACTOR)) < 0;
        Duration span = again ? before.duration.multipliedBy(2) : settings.initialRejoinPenalty();
        penalties.put(
                name, new RejoinPenalty(now, span.compareTo(settings.maxRejoinPenalty()) > 0 ? settings.maxRejoinPenalty() : span));
        if (penalties.size() > MAX_REPORTS) {
            penalties.remove(penalties.keySet().iterator().next());
        }
    }
}
