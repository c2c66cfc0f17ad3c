package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Decides in which order a process takes up service after its start ({@link RecoveryStage}) and which peers it queries when.
 * Idempotent requests are admitted from the first moment. Non-idempotent ones, whose work must not run twice, are admitted
 * only when the process is reconciled and any duplicate of what its incarnation before may have started has passed out of
 * the idempotency window.
 *
 * <p>Does no I/O; not thread-safe. Moments are durations since the start of the process, except where named Unix.
 */
public final class RecoverySequence {

    /**
     * The peers of a sequence.
     *
     * @param known peers that have been alive at any time
     * @param reported those of them that have reported
     */
    public record PeerCounts(int known, int reported) {}

    /** A request may be read this much later than its own time says, as clocks are read one after the other. */
    private static final Duration READ_SLACK = Duration.ofMillis(100);
    /** Another process under this one's name counts as there for this long after it was last heard. */
    private static final Duration NAME_CONFLICT_TIMEOUT = Duration.ofSeconds(10);
    /** Weight of a capacity estimate of peers, in completed requests; less than that of an own estimate. */
    private static final double PEER_ESTIMATE_WEIGHT = 2;
    /** Before the process is reconciled, non-idempotent requests are put off by this many retry delays at a time. */
    private static final int POSTPONE_RETRY_DELAYS = 5;

    private final RecoverySettings settings;
    private final TrustedState trusted;
    private final Duration startedAt;
    private final long startedAtUnixMs;
    private final PeerReports peers;
    private final List<RecoveryEvent> events = new ArrayList<>();
    private RecoveryStage stage = RecoveryStage.COLD;
    private Optional<Duration> nameConflictAt = Optional.empty();
    private boolean clockDistrusted;
    private boolean isolationReported;

    /**
     * @param unixNow the Unix clock at {@code now}, in milliseconds
     * @param trusted what the process may rely on of the state that its incarnation before left
     * @param peersExpected whether there are peers to be heard from at all; without, the process is reconciled at once
     */
    public RecoverySequence(
            Duration now,
            long unixNow,
            TrustedState trusted,
            RecoverySettings settings,
            boolean peersExpected,
            SplittableRandom random) {
        this.settings = settings;
        this.trusted = trusted;
        startedAt = now;
        startedAtUnixMs = unixNow;
        peers = new PeerReports(settings, random);
        if (!peersExpected) {
            enter(now, RecoveryStage.RECONCILED, "reason=\"no peers are configured\"");
        }
    }

    private void enter(Duration now, RecoveryStage next, String details) {
        stage = next;
        report(now, "recovery-stage-changed", details);
    }

    private void report(Duration now, String name, String details) {
        events.add(new RecoveryEvent(now, name, stage, details));
    }

    // ---- input

    /** Membership holds the peer alive, or not. */
    public void peerStatusChanged(Duration now, String name, boolean alive) {
        peers.statusChanged(now, name, alive);
    }

    /** A peer answered the query of that correlation id; a report that answers no pending query is ignored. */
    public void reportReceived(Duration now, long unixNow, String name, long correlationId, PeerReport report) {
        peers.reportReceived(now, unixNow, name, correlationId, report);
    }

    /** Another process claims this one's name. */
    public void nameConflictObserved(Duration now) {
        if (nameConflictAt.isEmpty()) {
            report(now, "name-conflict-started", "effect=\"non-idempotent requests rejected until it ends\"");
        }
        nameConflictAt = Optional.of(now);
    }

    /** The service is at its full speed. */
    public void serviceWarmedUp(Duration now) {
        if (stage == RecoveryStage.RECONCILED && nonIdempotentAdmittedFrom(now).compareTo(now) <= 0) {
            enter(now, RecoveryStage.WARM, "reason=\"at full speed, all requests admitted\"");
        }
    }

    // ---- decisions

    /** Advances the stage, and returns the queries to be sent now. */
    public List<PeerQuery> dueQueries(Duration now) {
        expireNameConflict(now);
        if (stage.compareTo(RecoveryStage.RECONCILED) >= 0) {
            return List.of();
        }
        long alive = peers.aliveCount();
        if (stage == RecoveryStage.COLD && alive > 0) {
            enter(now, RecoveryStage.REJOINED, "peers_alive=" + alive);
        }
        if (alive == 0 && isAnswerTimeoutOver(now) && !isolationReported) {
            isolationReported = true;
            report(
                    now,
                    "no-peer-reached",
                    "waited_ms=" + settings.answerTimeout().toMillis()
                            + " effect=\"only idempotent requests are admitted until a peer is reached\"");
        }
        if (stage == RecoveryStage.REJOINED && haveEnoughReported(now)) {
            clockDistrusted = peers.doMostClocksDiffer();
            enter(
                    now,
                    RecoveryStage.RECONCILED,
                    "peers_reported=" + peers.reportedCount() + " peers_known=" + peers.knownCount()
                            + " clock_distrusted=" + clockDistrusted);
            return List.of();
        }
        return peers.dueQueries(now);
    }

    private void expireNameConflict(Duration now) {
        boolean over = nameConflictAt
                .map(at -> now.minus(at).compareTo(NAME_CONFLICT_TIMEOUT) >= 0)
                .orElse(false);
        if (over) {
            nameConflictAt = Optional.empty();
            report(now, "name-conflict-ended", "");
        }
    }

    private boolean isAnswerTimeoutOver(Duration now) {
        return now.minus(startedAt).compareTo(settings.answerTimeout()) >= 0;
    }

    /**
     * A peer that is held alive is waited for: a slow link is no reason to go on without what only that peer may know. But
     * once a majority has reported, no longer than the answer timeout, as a peer that died may be held alive for a while.
     */
    private boolean haveEnoughReported(Duration now) {
        if (peers.reportedCount() == 0) {
            return false;
        }
        boolean firstQueriesSent =
                now.minus(startedAt).compareTo(settings.firstQuerySpread().multipliedBy(2)) >= 0;
        if (firstQueriesSent && peers.haveAllAliveReported()) {
            return true;
        }
        return isAnswerTimeoutOver(now) && peers.reportedCount() * 2 > peers.knownCount();
    }

    /** How far recovery has come. */
    public RecoveryStage stage() {
        return stage;
    }

    /**
     * Non-idempotent requests that arrived before this moment are not started, as the incarnation before may have started
     * an earlier attempt of them. As long as the process is not reconciled that is a moment still to come.
     */
    public Duration nonIdempotentAdmittedFrom(Duration now) {
        if (stage.compareTo(RecoveryStage.RECONCILED) < 0 || nameConflictAt.isPresent()) {
            return now.plus(settings.initialRetryDelay().multipliedBy(POSTPONE_RETRY_DELAYS));
        }
        return lastPossibleStartByPredecessor()
                .plus(settings.idempotencyWindow())
                .plus(READ_SLACK);
    }

    /** The incarnation before ended before this one began, whatever the disk and the clock say. */
    private Duration lastPossibleStartByPredecessor() {
        if (clockDistrusted || trusted.nonIdempotentUntilUnixMs().isEmpty()) {
            return startedAt;
        }
        long agoMs = startedAtUnixMs - trusted.nonIdempotentUntilUnixMs().getAsLong();
        return agoMs > 0 ? startedAt.minusMillis(agoMs) : startedAt;
    }

    /** The capacity to begin with: what the incarnation before learned, else the median of the peers'; 0 if none is known. */
    public double capacityEstimate() {
        return trusted.capacityEstimate() > 0 ? trusted.capacityEstimate() : peers.medianLearnedCapacity();
    }

    /** How much the capacity estimate counts, in completed requests; 0 if there is none. */
    public double estimateWeight() {
        if (trusted.capacityEstimate() > 0) {
            return trusted.estimateWeight();
        }
        return capacityEstimate() > 0 ? PEER_ESTIMATE_WEIGHT : 0;
    }

    /** The events since the last call, in their order. */
    public List<RecoveryEvent> takeEvents() {
        List<RecoveryEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /** How many peers are known and how many of them have reported. */
    public PeerCounts peerCounts() {
        return new PeerCounts(peers.knownCount(), peers.reportedCount());
    }
}
