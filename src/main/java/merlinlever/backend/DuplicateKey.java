package merlinlever.backend;

/** The key that a request shares with its duplicates. */
final class DuplicateKey {

    /** The origin of a key, which determines how strictly duplicates are prevented from running. */
    enum Kind {
        /** The caller's idempotency key: at most one request with the key runs, and all must have the same body. */
        IDEMPOTENCY_KEY,
        /** The subject of a read: a fresh result may be shared, and a second run is harmless. */
        SHARED_READ
    }

    private final Kind kind;
    private final String text;

    private DuplicateKey(Kind kind, String text) {
        this.kind = kind;
        this.text = text;
    }

    static DuplicateKey ofIdempotencyKey(String idempotencyKey) {
        return new DuplicateKey(Kind.IDEMPOTENCY_KEY, "token " + idempotencyKey);
    }

    static DuplicateKey ofSharedRead(int priorityClass, String subject) {
        return new DuplicateKey(Kind.SHARED_READ, priorityClass + " " + subject);
    }

    Kind kind() {
        return kind;
    }

    /**
     * Returns the key as a string, unique to the key. The hash of the string selects a route, so the format must not
     * change between versions of the program.
     */
    String text() {
        return text;
    }
}
