package merlinlever.fleet.routes;

import merlinlever.common.WireNamed;

/** What a partner site is to this one; the first is preferred (Gao and Rexford 2001). */
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

    /** The name in route tables; it stays when the constant is renamed. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** What this site is to the partner. */
    public Relation inverse() {
        return switch (this) {
            case CUSTOMER -> PROVIDER;
            case PEER -> PEER;
            case PROVIDER -> CUSTOMER;
        };
    }
}
