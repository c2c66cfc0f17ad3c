package merlinlever.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import merlinlever.Operation;

/**
 * The operations that a repeat is known by, each under its mark. An entry stands from the arrival on, before the
 * operation can run, and counts for repeats that arrived within its time, however late those are read.
 */
final class Repeats {

    /** A repeat that was read later than this after its time no longer finds the result, and is broken off. */
    private static final Duration READ_LATE = Duration.ofSeconds(2);

    private record Kept(Work work, Duration until) {
    }

    private final Map<String, Kept> byMark = new HashMap<>();
    private final PriorityQueue<Kept> ends = new PriorityQueue<>(Comparator.comparing(Kept::until));

    /** The operation that this one repeats, or null; then this one is entered. */
    private Work findOrEnter(Work work) {
        Kept kept = byMark.get(work.mark);
        if (kept != null && (kept.until == null || work.arrival.compareTo(kept.until) <= 0)) {
            return kept.work;
        }
        byMark.put(work.mark, new Kept(work, null));
        return null;
    }

    /**
     * Enters what has just been read under its mark, if it has one, and returns what the module is to be told that it
     * repeats, or null. A token that stands for another body is not known: the module breaks such an operation off.
     */
    Operation enter(Work work, boolean token) {
        work.repeats = work.mark == null ? null : findOrEnter(work);
        return work.repeats == null ? null : !token || work.repeats.sameAs(work) ? work.repeats.handle : Conductor.UNKNOWN;
    }

    /** The one whose outcome this is to share, or null. */
    Work original(Work work) {
        Work original = work.repeats;
        while (original != null && !original.launched && original.repeats != null) {
            original = original.repeats;
        }
        // Where its original ended unrun, another repeat may have taken its place.
        return original == null || !original.launched ? holder(work.mark) : original;
    }

    /** What never ran and was never kept is not to be found by a repeat. */
    void unkept(Work work) {
        if (!work.launched) {
            forget(work);
            work.body = null;
        }
    }

    /** What ended and no repeat can find holds on to no bytes. */
    void ended(Work work) {
        if (work.mark == null || holder(work.mark) != work) {
            work.result = null;
            work.body = null;
        }
    }

    private Work holder(String mark) {
        Kept kept = byMark.get(mark);
        return kept == null ? null : kept.work;
    }

    void keep(Work work, Duration until) {
        if (work.mark == null) {
            return;
        }
        Kept kept = new Kept(work, until);
        byMark.put(work.mark, kept);
        ends.add(kept);
    }

    void forget(Work work) {
        if (work.mark != null && holder(work.mark) == work) {
            byMark.remove(work.mark);
        }
    }

    /** Lets go of the bytes of what no repeat can ask for any more. */
    void sweep(Duration now) {
        while (!ends.isEmpty() && ends.peek().until.plus(READ_LATE).compareTo(now) < 0) {
            Kept kept = ends.poll();
            if (byMark.get(kept.work.mark) == kept && kept.work.end != null) {
                kept.work.result = null;
                kept.work.body = null;
            }
        }
    }
}
