package merlinlever.view;

import merlinlever.WireNamed;

/** How much of the fleet a backend speaks with, and so how far its word goes. */
public enum QuorumStatus implements WireNamed {
    /** All stated voters are heard, and agree with it on the view. */
    FULL("whole"),
    /** More than half of the voters are heard, itself among them where it is one, and agree. */
    MAJORITY("most"),
    /** Others are heard, but half of the voters or fewer. */
    MINORITY("few"),
    /** Nobody is heard. */
    ISOLATED("alone"),
    /** Enough are heard, but they hold other views, or two live under its name. */
    CONFLICTING("disagreeing"),
    /** It stood still or began anew, and has not yet been told what it missed. */
    RECOVERING("returning");

    private final String wireName;

    QuorumStatus(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
