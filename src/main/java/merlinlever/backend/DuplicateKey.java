package merlinlever.backend;

/** What a request has in common with its duplicates. */
final class DuplicateKey {

    /** What the key stands for, and so how strictly duplicates are kept from running. */
    enum Kind {
        /** The caller's idempotency key: at most one request with it runs, and all must have the same body. */
        IDEMPOTENCY_KEY,
        /** The subject of a read: a fresh result may be shared, and a second run does no harm. */
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
     * The key as a string, different for every two keys. Routes are selected by its hash, so that every version of the
     * program has to form it alike.
     */
    String text() {
        return text;
    }
}
