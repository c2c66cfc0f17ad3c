package merlinlever.fleet.routes;

import merlinlever.common.WireNamed;

/** The business relation of a partner site to this site, in descending order of preference (Gao and Rexford 2001). */
public enum Relation implements WireNamed {
    /** The partner pays for calls. */
    CUSTOMER("customer"),
    /** Neither site pays. */
    PEER("peer"),
    /** The partner is paid for calls. */
    PROVIDER("provider");

    private final String wireName;

    Relation(String wireName) {
        this.wireName = wireName;
    }

    /** The name in route tables, independent of the name of the constant. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** Returns the relation of this site to the partner. */
    public Relation inverse() {
        return switch (this) {
            case CUSTOMER -> PROVIDER;
            case PEER -> PEER;
            case PROVIDER -> CUSTOMER;
        };
    }
}
