package merlinlever.faults.timeline;

/** What may be drawn of a play: it is known later whether it is. */
final class Draft {

    final long at;
    final String node;
    String what;
    boolean shown;

    Draft(long at, String node, String what, boolean shown) {
        this.at = at;
        this.node = node;
        this.what = what;
        this.shown = shown;
    }
}
