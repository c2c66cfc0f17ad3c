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
 * Stores the view that this backend has adopted and the latest view that it has received, which it may not have adopted
 * yet. A view is replaced only by one with a higher number. Not thread-safe.
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
    private long leaderViewNumber;
    private long numberConflicts;

    /**
     * Creates an instance without an adopted view.
     *
     * @param termFloor highest term on the disk of this backend at its start; earlier incarnations may have adopted
     *     views of this term
     * @param persistTerm requests that a term be written to disk, and returns true once the write has completed
     * @param failureDetector receives the new subjects of this backend when a view is adopted
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

    /** Returns the observer rings of the adopted view. */
    ObserverRings observerRings() {
        return observerRings;
    }

    long termFloor() {
        return termFloor;
    }

    /** Returns how often a second view with the latest number was received; always 0 in a correct fleet. */
    long numberConflicts() {
        return numberConflicts;
    }

    /** Returns the number of members of the adopted view or of the membership table, whichever is larger. */
    int fleetSize(MemberTable memberTable) {
        return Math.max(adopted.members().size(), memberTable.size());
    }

    /**
     * Returns the index that identifies a member of the adopted view in messages; -1 if the backend is not a member.
     */
    int indexOf(String member) {
        return memberOrder.indexOf(member);
    }

    /**
     * Returns the member at an index of the adopted view.
     *
     * @throws IndexOutOfBoundsException if the view has no member at the index
     */
    String memberAt(int index) {
        return memberOrder.get(index);
    }

    /** Encodes the latest view, as a difference from the view with the base number if that one is remembered. */
    byte[] encodeLatest(long baseNumber) {
        return codec.encode(latestKnown, baseNumber);
    }

    /** Processes a payload of a peer; payloads without a valid view are ignored. */
    void receivePayload(Duration now, byte[] payload) {
        MembershipView received = ViewCodec.isViewPayload(payload) ? codec.decode(payload) : null;
        if (received != null) {
            recordView(now, received);
        }
    }

    /**
     * Records the number of the view that the leader has reported in answer to a poll of this backend. No later term
     * can have had a leader while this leader holds its lease, so a restarted backend may adopt a view with this or a
     * higher number.
     */
    void recordLeaderViewNumber(long number) {
        leaderViewNumber = Math.max(leaderViewNumber, number);
    }

    /** Records a view and adopts it if possible; of two different views with the same number, the first one is kept. */
    void recordView(Duration now, MembershipView received) {
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
     * Adopts the latest known view once its term is on disk. After a restart, a view is adopted only if no earlier
     * incarnation can have adopted a later one.
     */
    void adoptLatest(Duration now) {
        boolean isSafe = adopted.number() > 0
                || latestKnown.term() > termFloor
                || (leaderViewNumber > 0 && latestKnown.number() >= leaderViewNumber);
        if (latestKnown.number() <= adopted.number() || !isSafe || !persistTerm.test(latestKnown.term())) {
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
