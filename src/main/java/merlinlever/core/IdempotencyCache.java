package merlinlever.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import merlinlever.RequestHandle;

/**
 * The operations that a repeat is known by, each under its mark. An entry stands from the arrival on, before the
 * operation can run, and counts for repeats that arrived within its time, however late those are read.
 */
final class IdempotencyCache {

    /** A repeat that was read later than this after its time no longer finds the result, and is broken off. */
    private static final Duration READ_LATE = Duration.ofSeconds(2);

    /**
     * What stands under a mark, until when (null as long as the module has not said so), and, as long as it has not begun,
     * what ran before it under the same mark.
     */
    private record Entry(TrackedRequest work, Duration until, Entry before) {

        boolean covers(TrackedRequest repeat) {
            return until == null || repeat.arrival.compareTo(until) <= 0;
        }

        Entry alone() {
            return new Entry(work, until, null);
        }
    }

    private final Map<String, Entry> byMark = new HashMap<>();
    private final PriorityQueue<Entry> ends = new PriorityQueue<>(Comparator.comparing(Entry::until));

    /** The operation that this one repeats, or null; then this one is entered. */
    private TrackedRequest findOrEnter(TrackedRequest work, boolean token) {
        Entry kept = byMark.get(work.mark);
        Entry ran = kept == null || kept.work.launched ? kept : kept.before;
        // A try of the time of one that ran is judged by that one, also where a later one has been entered since.
        if (ran != null && ran.covers(work)) {
            return ran.work;
        }
        // With an effect at stake, one that is not over stands for all that comes: its window may be shorter than its
        // run.
        if (kept != null && (kept.covers(work) || (token && kept.work.end == null))) {
            return kept.work;
        }
        byMark.put(work.mark, new Entry(work, null, ran == null ? null : ran.alone()));
        return null;
    }

    /**
     * Enters what has just been read under its mark, if it has one, and returns what the module is to be told that it
     * repeats, or null. A token that stands for another body is not known: the module breaks such an operation off.
     */
    RequestHandle enter(TrackedRequest work, boolean token) {
        work.repeats = work.mark == null ? null : findOrEnter(work, token);
        return work.repeats == null
                ? null
                : !token || work.repeats.sameAs(work) ? work.repeats.handle : ControllerDriver.UNKNOWN;
    }

    /** The one whose outcome this is to share, or null. */
    TrackedRequest original(TrackedRequest work) {
        TrackedRequest original = work.repeats;
        while (original != null && !original.launched && original.repeats != null) {
            original = original.repeats;
        }
        // Where its original ended unrun, another repeat may have taken its place.
        return original == null || !original.launched ? holder(work.mark) : original;
    }

    /** What never ran is not to be found by a repeat. */
    void unkept(TrackedRequest work) {
        if (!work.launched) {
            forget(work);
        }
    }

    /** What ended and no repeat can find holds on to no bytes; what came while it ran can find it, however short its window. */
    void ended(TrackedRequest work, Duration now) {
        Entry kept = work.mark == null ? null : byMark.get(work.mark);
        if (kept == null || kept.work != work) {
            dropBytes(work);
        } else if (kept.until != null && kept.until.compareTo(now) < 0) {
            keep(work, now);
        }
    }

    private TrackedRequest holder(String mark) {
        Entry kept = byMark.get(mark);
        return kept == null ? null : kept.work;
    }

    void keep(TrackedRequest work, Duration until) {
        if (work.mark == null) {
            return;
        }
        Entry before = byMark.get(work.mark);
        Entry kept = new Entry(work, until, before == null ? null : before.before);
        byMark.put(work.mark, kept);
        ends.add(kept);
    }

    /** Where it never ran, what ran before it stands again. */
    void forget(TrackedRequest work) {
        Entry kept = work.mark == null ? null : byMark.get(work.mark);
        if (kept != null && kept.work == work) {
            if (work.launched || kept.before == null || kept.before.work.released) {
                byMark.remove(work.mark);
            } else {
                byMark.put(work.mark, kept.before);
            }
        }
        if (!work.launched) {
            work.body = null;
        }
    }

    /** Lets go of the bytes of what no repeat can ask for any more. */
    void sweep(Duration now) {
        while (!ends.isEmpty() && ends.peek().until.plus(READ_LATE).compareTo(now) < 0) {
            Entry over = ends.poll();
            Entry kept = byMark.get(over.work.mark);
            boolean renewed = kept != null && kept.work == over.work && !over.until.equals(kept.until);
            if (!renewed && over.work.end != null) {
                dropBytes(over.work);
            }
        }
    }

    private static void dropBytes(TrackedRequest work) {
        work.result = null;
        work.body = null;
    }
}
