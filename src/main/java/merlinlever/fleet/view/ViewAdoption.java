package merlinlever.fleet.view;

import java.time.Duration;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.LongPredicate;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import merlinlever.fleet.membership.MemberTable;

/**
 * The view that this backend has adopted, and the latest one that it knows of, which it may not have adopted yet. Only a view
 * with a higher number replaces another one. Not thread-safe.
 */
final class ViewAdoption {

    private static final int MAX_NAMES_LOGGED = 20;

    private final String self;
    private final long termFloor;
    private final LongPredicate persistTerm;
    private final FailureDetector failureDetector;
    private final EventLog log;
    private final ViewCodec codec = new ViewCodec();
    private MembershipView adopted = MembershipView.NONE;
    private MembershipView latestKnown = MembershipView.NONE;
    private List<String> memberOrder = List.of();
    private ObserverRings observerRings = new ObserverRings(MembershipView.NONE.members());
    private Duration adoptedAt;
    private long vouchedNumber;
    private long numberConflicts;

    /**
     * Nothing is adopted yet.
     *
     * @param termFloor the highest term on this backend's disk when it started: an earlier incarnation may have held views of it
     * @param persistTerm requests that a term be written to disk; true once it is there
     * @param failureDetector is told whom to observe whenever a view is adopted
     */
    ViewAdoption(
            Duration now,
            String self,
            long termFloor,
            LongPredicate persistTerm,
            FailureDetector failureDetector,
            EventLog log) {
        this.self = self;
        this.termFloor = termFloor;
        this.persistTerm = persistTerm;
        this.failureDetector = failureDetector;
        this.log = log;
        adoptedAt = now;
    }

    MembershipView adopted() {
        return adopted;
    }

    Duration adoptedAt() {
        return adoptedAt;
    }

    MembershipView latestKnown() {
        return latestKnown;
    }

    /** The rings of the adopted view. */
    ObserverRings observerRings() {
        return observerRings;
    }

    long termFloor() {
        return termFloor;
    }

    /** How often a second membership came under a number that is known: always 0 unless something is broken. */
    long numberConflicts() {
        return numberConflicts;
    }

    /** How many backends there are: those of the adopted view, or all that membership knows where these are more. */
    int fleetSize(MemberTable memberTable) {
        return Math.max(adopted.members().size(), memberTable.size());
    }

    /** Index of a member in the adopted view, by which messages name it; -1 where it is no member. */
    int indexOf(String member) {
        return memberOrder.indexOf(member);
    }

    /**
     * The member at an index of the adopted view.
     *
     * @throws IndexOutOfBoundsException if there is none
     */
    String memberAt(int index) {
        return memberOrder.get(index);
    }

    /** The latest view as bytes, as a difference from the view of that number where that one is remembered. */
    byte[] encodeLatest(long baseNumber) {
        return codec.encode(latestKnown, baseNumber);
    }

    /** Takes in a payload of a peer; one that holds no readable view changes nothing. */
    void receivePayload(Duration now, byte[] payload) {
        MembershipView received = ViewCodec.isViewPayload(payload) ? codec.decode(payload) : null;
        if (received != null) {
            learn(now, received);
        }
    }

    /**
     * The leader said, in answer to this backend, that it holds the view of that number. While it leads nobody can have led
     * under a higher term, so a view from that number on may be adopted after a restart.
     */
    void vouchFor(long number) {
        vouchedNumber = Math.max(vouchedNumber, number);
    }

    /** Takes note of a view; of two with one number, the first counts. */
    void learn(Duration now, MembershipView received) {
        if (received.number() == latestKnown.number() && !received.digest().equals(latestKnown.digest())) {
            numberConflicts++;
            log.write(LogEvent.info("view-number-conflict")
                    .with("view", latestKnown.displayNumber())
                    .with("kept_digest", latestKnown.digest())
                    .with("rejected_digest", received.digest()));
        } else if (received.number() > latestKnown.number()) {
            latestKnown = received;
            codec.remember(received);
            adoptLatest(now);
        }
    }

    /**
     * Adopts the latest known view, once its term is on disk. After a restart only a view that no earlier incarnation can have
     * been beyond is adopted.
     */
    void adoptLatest(Duration now) {
        boolean safe = adopted.number() > 0
                || latestKnown.term() > termFloor
                || (vouchedNumber > 0 && latestKnown.number() >= vouchedNumber);
        if (latestKnown.number() <= adopted.number() || !safe || !persistTerm.test(latestKnown.term())) {
            return;
        }
        logAdoption();
        adopted = latestKnown;
        adoptedAt = now;
        memberOrder = List.copyOf(adopted.members());
        observerRings = new ObserverRings(adopted.members());
        failureDetector.setSubjects(now, observerRings.subjects(self));
    }

    private void logAdoption() {
        SortedSet<String> joined = new TreeSet<>(latestKnown.members());
        joined.removeAll(adopted.members());
        SortedSet<String> removed = new TreeSet<>(adopted.members());
        removed.removeAll(latestKnown.members());
        LogEvent event = latestKnown.addTo(LogEvent.info("view-adopted")).with("previous", adopted.displayNumber());
        event = withNames(event, "joined", joined);
        log.write(withNames(event, "removed", removed));
    }

    private static LogEvent withNames(LogEvent event, String key, SortedSet<String> names) {
        if (names.isEmpty()) {
            return event;
        }
        String listed = String.join(",", names.stream().limit(MAX_NAMES_LOGGED).toList());
        return event.with(key, listed + (names.size() > MAX_NAMES_LOGGED ? ",..." : ""));
    }
}
