package merlinlever.fleet.membership;

import merlinlever.common.WireNamed;

/**
 * Status of a member. Within an incarnation a later constant overrides an earlier one. The constants are encoded by
 * their ordinal, so their order must not change.
 */
public enum MemberStatus implements WireNamed {
    ALIVE("alive"),
    /** The member did not reply to a ping and can still refute the suspicion. */
    SUSPECT("suspect"),
    /** The member did not refute the suspicion in time. */
    DEAD("dead"),
    /** The member left the fleet gracefully. */
    LEFT("left");

    private final String wireName;

    MemberStatus(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in logs and JSON, which is independent of the name of the constant. */
    @Override
    public String wireName() {
        return wireName;
    }
}
