package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Decides in which stages a process resumes service after its start ({@link RecoveryStage}) and when it queries its
 * peers. Idempotent requests are admitted immediately. Non-idempotent requests, which must not run twice, are admitted
 * when the process is reconciled and the idempotency window has passed for all requests that the previous incarnation
 * may have started.
 *
 * <p>Does no I/O; not thread-safe. Times are measured from the start of the process, except those named Unix.
 */
public final class RecoverySequence {

    /**
     * The numbers of peers.
     *
     * @param known number of peers that have been alive at any time
     * @param reported number of known peers that have reported
     */
    public record PeerCounts(int known, int reported) {}

    /** Tolerance for the delay between the arrival time of a request and the reading of the clock. */
    private static final Duration CLOCK_READ_SLACK = Duration.ofMillis(100);
    /** A name conflict ends when it has not been observed for this time. */
    private static final Duration NAME_CONFLICT_TIMEOUT = Duration.ofSeconds(10);
    /** Weight of a capacity estimate of peers, in completed requests; lower than that of a persisted estimate. */
    private static final double PEER_ESTIMATE_WEIGHT = 2;
    /** Postponement of non-idempotent requests before the process is reconciled, in initial retry delays. */
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
     * Creates a sequence in the cold stage.
     *
     * @param unixNow the Unix clock at {@code now}, in milliseconds
     * @param trusted the trusted part of the persisted state of the previous incarnation
     * @param peersConfigured whether the process has peers; a process without peers is reconciled immediately
     */
    public RecoverySequence(
            Duration now,
            long unixNow,
            TrustedState trusted,
            RecoverySettings settings,
            boolean peersConfigured,
            SplittableRandom random) {
        this.settings = settings;
        this.trusted = trusted;
        startedAt = now;
        startedAtUnixMs = unixNow;
        peers = new PeerReports(settings, random);
        if (!peersConfigured) {
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

    /** Records whether membership considers the peer alive. */
    public void peerStatusChanged(Duration now, String name, boolean alive) {
        peers.statusChanged(now, name, alive);
    }

    /** Records the report of a peer; a report without a pending query of the same correlation id is ignored. */
    public void reportReceived(Duration now, long unixNow, String name, long correlationId, PeerReport report) {
        peers.reportReceived(now, unixNow, name, correlationId, report);
    }

    /** Records that another process uses the name of this process. */
    public void nameConflictObserved(Duration now) {
        if (nameConflictAt.isEmpty()) {
            report(now, "name-conflict-started", "effect=\"non-idempotent requests rejected until the conflict ends\"");
        }
        nameConflictAt = Optional.of(now);
    }

    /** Records that the service has warmed up. */
    public void serviceWarmedUp(Duration now) {
        if (stage == RecoveryStage.RECONCILED && nonIdempotentAdmittedFrom(now).compareTo(now) <= 0) {
            enter(now, RecoveryStage.WARM, "reason=\"the service has warmed up, all requests admitted\"");
        }
    }

    // ---- decisions

    /** Advances the stage and returns the queries to be sent now. */
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
        if (stage == RecoveryStage.REJOINED && hasEnoughReports(now)) {
            clockDistrusted = peers.mostClocksDiffer();
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
     * Returns whether the process can be reconciled. The process waits for the reports of all live peers, even over
     * slow links, as a report may contain state that no other peer has. After the answer timeout the reports of a
     * majority are enough, as a dead peer may be considered alive for some time.
     */
    private boolean hasEnoughReports(Duration now) {
        if (peers.reportedCount() == 0) {
            return false;
        }
        boolean firstQueriesSent =
                now.minus(startedAt).compareTo(settings.firstQuerySpread().multipliedBy(2)) >= 0;
        if (firstQueriesSent && peers.allAliveReported()) {
            return true;
        }
        return isAnswerTimeoutOver(now) && peers.reportedCount() * 2 > peers.knownCount();
    }

    /** Returns the current stage of recovery. */
    public RecoveryStage stage() {
        return stage;
    }

    /**
     * Returns the earliest arrival time of non-idempotent requests that may be started. The previous incarnation may
     * have started an earlier attempt of a request that arrived before this time. The returned time is in the future
     * until the process is reconciled, and during a name conflict.
     */
    public Duration nonIdempotentAdmittedFrom(Duration now) {
        if (stage.compareTo(RecoveryStage.RECONCILED) < 0 || nameConflictAt.isPresent()) {
            return now.plus(settings.initialRetryDelay().multipliedBy(POSTPONE_RETRY_DELAYS));
        }
        return lastPossibleStartByPreviousIncarnation()
                .plus(settings.idempotencyWindow())
                .plus(CLOCK_READ_SLACK);
    }

    /**
     * Returns the latest time at which the previous incarnation may have started a request, at most the start of this
     * one.
     */
    private Duration lastPossibleStartByPreviousIncarnation() {
        if (clockDistrusted || trusted.nonIdempotentUntilUnixMs().isEmpty()) {
            return startedAt;
        }
        long agoMs = startedAtUnixMs - trusted.nonIdempotentUntilUnixMs().getAsLong();
        return agoMs > 0 ? startedAt.minusMillis(agoMs) : startedAt;
    }

    /** Returns the persisted capacity estimate, else the median capacity of the peers, else 0. */
    public double capacityEstimate() {
        return trusted.capacityEstimate() > 0 ? trusted.capacityEstimate() : peers.medianLearnedCapacity();
    }

    /** Returns the weight of the capacity estimate in completed requests, or 0 if there is no estimate. */
    public double estimateWeight() {
        if (trusted.capacityEstimate() > 0) {
            return trusted.estimateWeight();
        }
        return capacityEstimate() > 0 ? PEER_ESTIMATE_WEIGHT : 0;
    }

    /** Returns the events since the last call, in chronological order, and removes them. */
    public List<RecoveryEvent> takeEvents() {
        List<RecoveryEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /** Returns the number of known peers and the number of peers that have reported. */
    public PeerCounts peerCounts() {
        return new PeerCounts(peers.knownCount(), peers.reportedCount());
    }
}
