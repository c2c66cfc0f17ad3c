package merlinlever.fleet.view;

import merlinlever.common.WireNamed;

/** How much of the fleet a backend speaks with, and so how far it may act; from the best to the worst. */
public enum QuorumStatus implements WireNamed {
    /** All configured voters are heard, and agree with this backend on the view. */
    FULL("whole"),
    /** A majority of the voters is heard, itself among them where it is one, and agrees. */
    MAJORITY("most"),
    /** Peers are heard, but no majority of the voters. */
    MINORITY("few"),
    /** Nobody is heard. */
    ISOLATED("alone"),
    /** Enough voters are heard, but they hold other views, or another process uses this backend's name. */
    CONFLICTING("disagreeing"),
    /** It was paused or has just started, and has not yet heard what it missed. */
    RECOVERING("returning");

    private final String wireName;

    QuorumStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The name in logs, JSON and the operators' pages; it stays when the constant is renamed. */
    @Override
    public String wireName() {
        return wireName;
    }
}
