package merlinlever.fleet.recovery.net;

import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.BackgroundWriter;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;

/**
 * Reserves incarnations, election terms and the period in which non-idempotent requests may be started. A reservation
 * is written to disk before use, so that the next incarnation knows which values may have been used, and takes effect
 * when the write has completed.
 *
 * <p>All methods must be called on the event loop thread. Durations are measured from the start of the process.
 */
final class DurableReservations {

    /**
     * Current values that are written with each reservation.
     *
     * @param incarnation the incarnation in use
     * @param learnedCapacity the capacity learned so far, 0 if none
     * @param peerAddresses addresses of the known peers
     */
    record Snapshot(long incarnation, double learnedCapacity, List<String> peerAddresses) {}

    /** Incarnations reserved in advance, so that refuting a suspicion rarely waits for the disk. */
    private static final long INCARNATIONS_AHEAD = 64;
    /** Length of the reserved period for non-idempotent requests, in reservation intervals. */
    private static final int INTERVALS_AHEAD = 3;
    /** The Unix clock counts as set when its offset from the monotonic clock changes by more than this. */
    private static final long CLOCK_STEP_THRESHOLD_MS = 50;

    private final String owner;
    private final Duration interval;
    private final MonotonicClock clock;
    private final LongSupplier unixClock;
    private final BackgroundWriter writer;
    private final Supplier<Snapshot> snapshots;
    private final EventLog log;
    private long incarnationsOnDisk;
    private long highestTerm;
    private long highestTermOnDisk;
    private Duration nonIdempotentUntil = Duration.ZERO;
    private Duration nextReservationAt = Duration.ZERO;
    private long clockOffsetAtReservationMs;
    private boolean writeFailed;

    /**
     * Creates an instance without any reservation.
     *
     * @param owner identity of this process; see {@link PersistedState#owner}
     * @param interval time between two reservations for non-idempotent requests; zero for none
     * @param highestTerm highest term that an earlier incarnation may have promised
     */
    DurableReservations(
            NodeEnvironment environment,
            String owner,
            Duration interval,
            long highestTerm,
            Supplier<Snapshot> snapshots,
            EventLog log) {
        this.owner = owner;
        this.interval = interval;
        this.highestTerm = highestTerm;
        clock = environment.loop().clock();
        unixClock = environment.unixClock();
        writer = new BackgroundWriter(environment.directory(), environment.loop(), "recovery-disk");
        this.snapshots = snapshots;
        this.log = log;
    }

    boolean isIncarnationReserved(long incarnation) {
        return incarnation <= incarnationsOnDisk;
    }

    /**
     * Requests that the term be written to disk. Returns whether the term is on disk; before that, no promise may be made
     * in the term.
     */
    boolean reserveTerm(long term) {
        highestTerm = Math.max(highestTerm, term);
        if (highestTerm > highestTermOnDisk && !writer.isBusy()) {
            write(clock.uptime());
        }
        return term <= highestTermOnDisk;
    }

    long highestTerm() {
        return highestTerm;
    }

    /** Returns the end of the reserved period for non-idempotent requests; zero if no period is reserved. */
    Duration nonIdempotentUntil() {
        return nonIdempotentUntil;
    }

    boolean hasWriteFailed() {
        return writeFailed;
    }

    /** Revokes the reserved period if the Unix clock was set, as the period on disk is in Unix time. */
    void revokeIfClockWasSet(Duration now) {
        long stepMs = clockOffsetMs() - clockOffsetAtReservationMs;
        if (Math.abs(stepMs) > CLOCK_STEP_THRESHOLD_MS && !nonIdempotentUntil.isZero()) {
            log.info("unix-clock-set step_ms=" + stepMs
                    + " effect=\"non-idempotent requests rejected until the next reservation\"");
            nonIdempotentUntil = Duration.ZERO;
            nextReservationAt = now;
        }
    }

    /** Returns the offset of the Unix clock from the uptime of the process. */
    private long clockOffsetMs() {
        return unixClock.getAsLong() - clock.uptime().toMillis();
    }

    /** Writes a reservation if one is due and no write is in progress. */
    void renewIfDue(Duration now, long incarnation) {
        boolean intervalOver = !interval.isZero() && now.compareTo(nextReservationAt) >= 0;
        boolean due = incarnation > incarnationsOnDisk || highestTerm > highestTermOnDisk || intervalOver;
        if (due && !writer.isBusy()) {
            write(now);
        }
    }

    private void write(Duration now) {
        nextReservationAt = now.plus(interval);
        Duration until = now.plus(interval.multipliedBy(INTERVALS_AHEAD));
        long writtenAtUnixMs = unixClock.getAsLong();
        long clockOffsetMs = writtenAtUnixMs - now.toMillis();
        Snapshot snapshot = snapshots.get();
        long incarnations = Math.max(incarnationsOnDisk, snapshot.incarnation() + INCARNATIONS_AHEAD);
        long term = highestTerm;
        PersistedState state = new PersistedState(
                owner,
                incarnations,
                term,
                writtenAtUnixMs + until.minus(now).toMillis(),
                writtenAtUnixMs,
                snapshot.learnedCapacity(),
                snapshot.peerAddresses());
        writer.replace(RecoveryFile.FILE_NAME, RecoveryFile.encode(state), failure -> {
            if (failure.isEmpty()) {
                incarnationsOnDisk = incarnations;
                highestTermOnDisk = term;
                nonIdempotentUntil = until;
                clockOffsetAtReservationMs = clockOffsetMs;
            }
            reportWriteStatus(
                    failure.isPresent(), failure.map(Throwable::getMessage).orElse(""));
        });
    }

    private void reportWriteStatus(boolean failed, String error) {
        if (failed == writeFailed) {
            return;
        }
        writeFailed = failed;
        log.info(
                failed
                        ? "recovery-state-write-failed error=\"" + error
                                + "\" effect=\"non-idempotent requests rejected until a write succeeds\""
                        : "recovery-state-write-recovered");
    }

    /** Stops further writes and waits for a write in progress; see {@link BackgroundWriter#close}. */
    boolean close(Duration timeout) {
        return writer.close(timeout);
    }
}
