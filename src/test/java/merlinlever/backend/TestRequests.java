package merlinlever.backend;

import java.time.Duration;
import java.util.Optional;
import merlinlever.backend.RequestMetadata.Cost;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;

/** Creates requests for tests. */
public final class TestRequests {

    /** Name of the tests' first priority class, whose requests are idempotent. */
    public static final String LOOKUP = "look";

    private static final double MEMORY_KB = 10;

    private TestRequests() {}

    /** Creates a request of the first priority class without a body, which no backend has received. */
    public static TrackedRequest tracked(long id) {
        return tracked(id, LOOKUP);
    }

    /** Creates a request without a body, which no backend has received, of the first priority class under this name. */
    public static TrackedRequest tracked(long id, String priorityClassName) {
        Timing timing = new Timing(Duration.ZERO, Optional.empty());
        RequestMetadata metadata = metadata(idOf(id), 0, priorityClassName, timing, null, null);
        return new TrackedRequest(metadata, Duration.ZERO, null, new byte[0], null);
    }

    /** Returns the id in the format that edge nodes send. */
    public static RequestId idOf(long id) {
        return new RequestId(id, String.format("%016x", id));
    }

    /** Creates metadata of a request that is no retry; the idempotency key and the subject may be null. */
    public static RequestMetadata metadata(
            RequestId id,
            int priorityClass,
            String priorityClassName,
            Timing timing,
            String idempotencyKey,
            String subject) {
        return new RequestMetadata(
                id,
                priorityClass,
                priorityClassName,
                timing,
                new Cost(MEMORY_KB, Optional.empty()),
                false,
                Optional.ofNullable(idempotencyKey),
                Optional.ofNullable(subject));
    }
}
