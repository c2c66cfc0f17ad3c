package merlinlever.routes;

import merlinlever.WireNamed;

/** What a partner site is to the one that says so; the first is liked best (Gao and Rexford 2001). */
public enum Relation implements WireNamed {
    /** It pays for calls. */
    CUSTOMER("customer"),
    /** Neither pays. */
    PEER("peer"),
    /** It is paid for calls. */
    PROVIDER("provider");

    private final String wireName;

    Relation(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }

    /** What the one that says so is to the partner. */
    public Relation inverse() {
        return this == PEER ? PEER : this == CUSTOMER ? PROVIDER : CUSTOMER;
    }
}
