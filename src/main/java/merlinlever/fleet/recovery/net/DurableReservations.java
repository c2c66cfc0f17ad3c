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
 * Reserves on disk, before it is used, whatever the next incarnation has to know as possible: incarnations, election terms,
 * and the time up to which non-idempotent requests may be started. Nothing counts as reserved before it is on the disk.
 *
 * <p>On the loop's thread; durations are since the process began.
 */
final class DurableReservations {

    /**
     * What else is written with each reservation.
     *
     * @param incarnation the incarnation in use
     * @param learnedCapacity the capacity learned so far, 0 if none
     * @param peerAddresses where peers are known to listen
     */
    record Snapshot(long incarnation, double learnedCapacity, List<String> peerAddresses) {}

    /** Incarnations are reserved this many ahead, so that refuting a rumour seldom waits for the disk. */
    private static final long INCARNATIONS_AHEAD = 64;
    /** The start of non-idempotent requests is reserved for this many intervals ahead. */
    private static final int INTERVALS_AHEAD = 3;
    /** The Unix clock counts as set when it departs from the monotonic clock by more than this. */
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
    private long clockLeadAtReservationMs;
    private boolean writeFailed;

    /**
     * @param owner the process that writes, see {@link PersistedState#owner}
     * @param interval between two reservations of non-idempotent requests; zero for none
     * @param highestTerm the highest term that may have been promised before
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

    /** Wants the term on the disk; true once it is there. Nothing may be promised under it before. */
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

    /** Non-idempotent requests may be started before this moment; zero where none may. */
    Duration nonIdempotentUntil() {
        return nonIdempotentUntil;
    }

    boolean hasWriteFailed() {
        return writeFailed;
    }

    /** A reservation is a time of the Unix clock: when that clock is set, the reservation on disk says something else. */
    void revokeIfClockWasSet(Duration now) {
        long stepMs = clockLeadMs() - clockLeadAtReservationMs;
        if (Math.abs(stepMs) > CLOCK_STEP_THRESHOLD_MS && !nonIdempotentUntil.isZero()) {
            log.info("unix-clock-set step_ms=" + stepMs
                    + " effect=\"non-idempotent requests rejected until the next reservation\"");
            nonIdempotentUntil = Duration.ZERO;
            nextReservationAt = now;
        }
    }

    /** By how much the Unix clock is ahead of the time since the process began. */
    private long clockLeadMs() {
        return unixClock.getAsLong() - clock.uptime().toMillis();
    }

    /** Writes a reservation if one is due and none is being written. */
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
        long clockLeadMs = writtenAtUnixMs - now.toMillis();
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
                clockLeadAtReservationMs = clockLeadMs;
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
                                + "\" effect=\"non-idempotent requests rejected until it succeeds\""
                        : "recovery-state-write-recovered");
    }

    /** Writes nothing from here on and waits for the write under way; see {@link BackgroundWriter#close}. */
    boolean close(Duration timeout) {
        return writer.close(timeout);
    }
}
