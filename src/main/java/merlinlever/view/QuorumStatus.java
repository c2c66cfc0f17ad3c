package merlinlever.view;

import merlinlever.WireNamed;

/** How much of the fleet a backend speaks with, and so how far its word goes. */
public enum QuorumStatus implements WireNamed {
    /** All stated voters are heard, and agree with it on the view. */
    WHOLE("whole"),
    /** More than half of the voters are heard, itself among them where it is one, and agree. */
    MOST("most"),
    /** Others are heard, but half of the voters or fewer. */
    FEW("few"),
    /** Nobody is heard. */
    ALONE("alone"),
    /** Enough are heard, but they hold other views, or two live under its name. */
    DISAGREEING("disagreeing"),
    /** It stood still or began anew, and has not yet been told what it missed. */
    RETURNING("returning");

    private final String wireName;

    QuorumStatus(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
