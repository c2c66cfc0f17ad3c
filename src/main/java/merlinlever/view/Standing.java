package merlinlever.view;

/** How much of the fleet a backend speaks with, and so how far its word goes. */
public enum Standing {
    /** All stated voters are heard, and agree with it on the view. */
    WHOLE,
    /** More than half of the voters are heard, itself among them where it is one, and agree. */
    MOST,
    /** Others are heard, but half of the voters or fewer. */
    FEW,
    /** Nobody is heard. */
    ALONE,
    /** Enough are heard, but they hold other views, or two live under its name. */
    DISAGREEING,
    /** It stood still or began anew, and has not yet been told what it missed. */
    RETURNING;

    /** In the lower case of logs, JSON and pages. */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
