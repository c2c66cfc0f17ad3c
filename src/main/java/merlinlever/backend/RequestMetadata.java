package merlinlever.backend;

import java.time.Duration;
import java.util.Optional;

/**
 * Everything that an edge node sends with a request except the body.
 *
 * @param priorityClass the index of the priority class, from 0
 * @param priorityClassName the name of the priority class, as sent to the agent
 * @param retry whether the caller marked the request as a retry
 * @param idempotencyKey the caller's key; requests with the same key are duplicates and run once
 * @param subject identifies the data that a read returns; reads of the same subject may share a result
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
     * The id of a request. Every attempt has a new id.
     *
     * @param value the id as a number
     * @param text the id as it was received
     */
    public record RequestId(long value, String text) {}

    /**
     * The times of a request, on this process's clock.
     *
     * @param arrivedAt when the request reached this machine, possibly some time before it was read
     * @param deadline when the caller gives up, if known
     */
    public record Timing(Duration arrivedAt, Optional<Duration> deadline) {}

    /**
     * The resources that the request needs.
     *
     * @param memoryKb memory in KiB
     * @param runTimeHint the caller's estimate of the run time, if there is one
     */
    public record Cost(double memoryKb, Optional<Duration> runTimeHint) {}
}
