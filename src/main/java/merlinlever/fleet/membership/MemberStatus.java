package merlinlever.fleet.membership;

import merlinlever.common.WireNamed;

/**
 * What is believed of a member; of one incarnation a later constant overrides an earlier one. On the wire they go by their position,
 * so their order is fixed.
 */
public enum MemberStatus implements WireNamed {
    ALIVE("alive"),
    /** It did not answer, and has some time to refute that. */
    SUSPECT("suspect"),
    /** It did not refute the suspicion in time. */
    DEAD("dead"),
    /** It left in good order. */
    LEFT("left");

    private final String wireName;

    MemberStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The name in logs and JSON; it stays when the constant is renamed. */
    @Override
    public String wireName() {
        return wireName;
    }
}
