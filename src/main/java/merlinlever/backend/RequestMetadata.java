package merlinlever.backend;

import java.time.Duration;
import java.util.Optional;

/**
 * What an edge node sends with a request, but for its body.
 *
 * @param priorityClass the index of the priority class, from 0
 * @param priorityClassName the name of the priority class, as the agent knows it
 * @param retry whether the caller marked the request as a retry
 * @param idempotencyKey the caller's key; requests with the same key are duplicates and run once
 * @param subject what a read is about; reads of the same subject may share a result
 */
public record RequestMetadata(
        RequestId id,
        int priorityClass,
        String priorityClassName,
        Timing timing,
        Cost cost,
        boolean retry,
        Optional<String> idempotencyKey,
        Optional<String> subject) {

    /**
     * The id of a request, which is new with every attempt.
     *
     * @param value the id as a number
     * @param text the id as it was received
     */
    public record RequestId(long value, String text) {}

    /**
     * The times of a request, on the clock of this process.
     *
     * @param arrivedAt when the request reached this machine; it may have waited since to be read
     * @param deadline when the caller gives up, if it says so
     */
    public record Timing(Duration arrivedAt, Optional<Duration> deadline) {}

    /**
     * What the request will need.
     *
     * @param memoryKb its memory, in KiB
     * @param runTimeHint the caller's estimate of its run time, if it gives one
     */
    public record Cost(double memoryKb, Optional<Duration> runTimeHint) {}
}
