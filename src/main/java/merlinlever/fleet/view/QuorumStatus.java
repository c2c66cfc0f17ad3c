package merlinlever.fleet.view;

import merlinlever.common.WireNamed;

/**
 * The part of the fleet that a backend communicates with, which determines its permitted actions; best status first.
 */
public enum QuorumStatus implements WireNamed {
    /** The backend hears all configured voters, and they agree with its view. */
    FULL("whole"),
    /**
     * The backend hears a majority of the voters, counting itself if it is a voter, and a majority agrees with its
     * view.
     */
    MAJORITY("most"),
    /** The backend hears peers, but no majority of the voters. */
    MINORITY("few"),
    /** The backend hears no peer. */
    ISOLATED("alone"),
    /**
     * A majority of the voters is heard but does not agree on the view, or another process uses this backend's name.
     */
    CONFLICTING("disagreeing"),
    /**
     * The backend has started or was paused, and has not yet learned the latest view; or it is not a member of the
     * view.
     */
    RECOVERING("returning");

    private final String wireName;

    QuorumStatus(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in logs, JSON and operator documentation, which does not depend on the name of the constant. */
    @Override
    public String wireName() {
        return wireName;
    }
}
