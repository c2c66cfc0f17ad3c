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
     * @param number of the question that it came with
     * @param since it was heard without a gap from then on
     * @param view the number of the one that it holds
     * @param floor where it holds none: it takes none of that term or before
     * @param hears voters that answer it
     * @param gone subjects that it holds gone
     */
    record MemberReport(
            Duration at, long number, Duration since, long view, long floor, int hears, List<String> gone) {}

    /** Taken out, and how long it stays so. */
    private record RejoinPenalty(Duration outAt, Duration span) {}

    /** Backends of which it keeps what they told, at the most. */
    private static final int MOST = 2 * MembershipView.MOST;
    /** A penalty is forgotten after so many of it. */
    private static final int FORGIVEN = 10;

    private final ViewSettings stated;
    private final Map<String, MemberReport> told = new TreeMap<>();
    private final Map<String, RejoinPenalty> penalties = new LinkedHashMap<>();
    private final Map<String, Duration> between = new TreeMap<>();
    private Set<String> candidates = Set.of();
    private Duration firstAt = Duration.ZERO, lastAt = Duration.ZERO;

    CutDetector(ViewSettings stated) {
        this.stated = stated;
    }

    /** One told; an older question than its last is a late or a replayed one, unless it was silent since. */
    void told(
            Duration now,
            String name,
            long number,
            long view,
            long floor,
            int hears,
            List<String> gone,
            Duration within) {
        MemberReport before = told.get(name);
        boolean fresh = before != null && now.minus(before.at).compareTo(within) < 0;
        if (fresh && number <= before.number) {
            return;
        }
        if (before == null && told.size() >= MOST) {
            told.values().removeIf(each -> now.minus(each.at).compareTo(within) >= 0);
            if (told.size() >= MOST) {
                return;
            }
        }
        told.put(name, new MemberReport(now, number, fresh ? before.since : now, view, floor, hears, gone));
    }

    private MemberReport heard(Duration now, String name, Duration within) {
        MemberReport last = told.get(name);
        return last != null && now.minus(last.at).compareTo(within) < 0 ? last : null;
    }

    /** This one stood still. */
    void stoodStill() {
        told.clear();
        between.clear();
        candidates = Set.of();
    }

    /** Whether a member waits for a view of a later term than this, as it may have held any of this one before it began anew. */
    boolean waits(Duration now, MembershipView view, Duration within) {
        for (String name : view.members()) {
            MemberReport last = heard(now, name, within);
            if (last != null && last.view == 0 && last.floor >= view.term()) {
                return true;
            }
        }
        return false;
    }

    /** How many observers of it count against it. */
    private int against(
            Duration now, String name, MembershipView view, ObserverRings rings, int most, Duration within) {
        int real = 0;
        int mute = 0;
        for (String observer : rings.observers(name)) {
            MemberReport last = heard(now, observer, within);
            if (last == null) {
                mute++;
            } else if (last.view == view.number() && last.hears >= most && last.gone.contains(name)) {
                // Only of one that hears enough itself: it may be the deaf one.
                real++;
            }
        }
        return real > 0 && heard(now, name, within) == null ? real + mute : real;
    }

    /**
     * The members of the next view, or null while none is due.
     *
     * @param most more than half of the voters
     */
    SortedSet<String> due(
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
            int against = name.equals(self) ? 0 : against(now, name, view, rings, most, within);
            if ((against >= ObserverRings.high(observers) && observers > 0) || left(members.apply(name))) {
                out.add(name);
            } else if (against >= ObserverRings.low(observers) && observers > 0) {
                doubtful.add(name);
            }
        }
        between.keySet().retainAll(doubtful);
        doubtful.forEach(name -> between.putIfAbsent(name, now));
        Set<String> in = new TreeSet<>();
        told.forEach((name, last) -> {
            if (!view.members().contains(name)
                    && mayJoin(now, name, last, most, members.apply(name), within)
                    && view.members().size() - out.size() + in.size() < MembershipView.MOST) {
                in.add(name);
            }
        });
        Set<String> all = new TreeSet<>(out);
        all.addAll(in);
        if (all.isEmpty()) {
            candidates = Set.of();
            return null;
        }
        firstAt = candidates.isEmpty() ? now : firstAt;
        lastAt = candidates.containsAll(all) ? lastAt : now;
        candidates = all;
        boolean waits =
                between.values().stream().anyMatch(since -> now.minus(since).compareTo(stated.between()) < 0);
        boolean quiet = now.minus(lastAt).compareTo(stated.quiet()) >= 0
                || now.minus(firstAt).compareTo(stated.longest()) >= 0;
        if ((waits && !out.isEmpty()) || !quiet) {
            return null;
        }
        candidates = Set.of();
        out.forEach(name -> takenOut(now, name));
        SortedSet<String> next = new TreeSet<>(view.members());
        next.removeAll(out);
        next.addAll(in);
        return next;
    }

    private static boolean left(MemberTable.MemberRecord known) {
        return known != null && known.status() == MemberTable.MemberStatus.LEFT;
    }

    private boolean mayJoin(
            Duration now, String name, MemberReport last, int most, MemberTable.MemberRecord known, Duration within) {
        RejoinPenalty penalty = penalties.get(name);
        return now.minus(last.at).compareTo(within) < 0
                && now.minus(last.since).compareTo(stated.steady()) >= 0
                && last.hears >= most
                && known != null
                && !left(known)
                && (penalty == null || now.minus(penalty.outAt).compareTo(penalty.span) >= 0);
    }

    private void takenOut(Duration now, String name) {
        RejoinPenalty before = penalties.remove(name);
        boolean again = before != null && now.minus(before.outAt).compareTo(before.span.multipliedBy(FORGIVEN)) < 0;
        Duration span = again ? before.span.multipliedBy(2) : stated.penalty();
        penalties.put(
                name, new RejoinPenalty(now, span.compareTo(stated.mostPenalty()) > 0 ? stated.mostPenalty() : span));
        if (penalties.size() > MOST) {
            penalties.remove(penalties.keySet().iterator().next());
        }
    }
}
