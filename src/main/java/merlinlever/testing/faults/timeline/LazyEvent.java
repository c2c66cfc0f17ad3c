package merlinlever.testing.faults.timeline;

/** What may be drawn of a play: it is known later whether it is. */
final class LazyEvent {

    final long at;
    final String node;
    String what;
    boolean shown;

    LazyEvent(long at, String node, String what, boolean shown) {
        this.at = at;
        this.node = node;
        this.what = what;
        this.shown = shown;
    }
}
