package merlinlever.routes;

/** What a partner site is to the one that says so; the first is liked best (Gao and Rexford 2001). */
public enum Relation {
    /** It pays for calls. */
    CUSTOMER,
    /** Neither pays. */
    PEER,
    /** It is paid for calls. */
    PROVIDER;

    /** What the one that says so is to the partner. */
    public Relation seenFromThere() {
        return this == PEER ? PEER : this == CUSTOMER ? PROVIDER : CUSTOMER;
    }

    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
