package merlinlever.core;

import java.time.Duration;

/** Operations for tests of the links alone. */
public final class Works {

    private Works() {}

    public static Work of(long id) {
        return new Work(id, String.format("%016x", id), 0, "look", Duration.ZERO, null, new byte[0], null);
    }
}
