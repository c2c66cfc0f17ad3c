package merlinlever.core;

import java.time.Duration;

/** Operations for tests of the links alone. */
public final class TestRequests {

    private TestRequests() {}

    public static TrackedRequest of(long id) {
        return new TrackedRequest(id, String.format("%016x", id), 0, "look", Duration.ZERO, null, new byte[0], null);
    }
}
