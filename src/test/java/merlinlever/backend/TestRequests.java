package merlinlever.backend;

import java.time.Duration;
import java.util.Optional;
import merlinlever.backend.RequestMetadata.Cost;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;

/** Requests for tests. */
public final class TestRequests {

    /** The first priority class of the tests, whose requests are idempotent. */
    public static final String LOOKUP = "look";

    private static final double MEMORY_KB = 10;

    private TestRequests() {}

    /** A request that no backend has received, of the first priority class and without a body. */
    public static TrackedRequest tracked(long id) {
        return tracked(id, LOOKUP);
    }

    /** A request that no backend has received, of the given class, which is the first, and without a body. */
    public static TrackedRequest tracked(long id, String priorityClassName) {
        Timing timing = new Timing(Duration.ZERO, Optional.empty());
        RequestMetadata metadata = metadata(idOf(id), 0, priorityClassName, timing, null, null);
        return new TrackedRequest(metadata, Duration.ZERO, null, new byte[0], null);
    }

    /** The id as edge nodes send it. */
    public static RequestId idOf(long id) {
        return new RequestId(id, String.format("%016x", id));
    }

    /** Metadata of a request that is no retry, with an idempotency key and a subject or null. */
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
