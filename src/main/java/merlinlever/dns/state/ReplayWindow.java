package merlinlever.dns.state;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * Marks of updates that were done, for as long as the same message could come again and be taken for a new one: its
 * signature holds for {@code span} on either side of its time. As many as were taken in such a time: the decision module
 * bounds that by the memory that each is stated to take.
 */
public final class ReplayWindow {

    /** A mark, by what is in it. */
    private record ReplayKey(byte[] octets) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ReplayKey mark && Arrays.equals(octets, mark.octets);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(octets);
        }
    }

    private record TimedKey(long at, ReplayKey mark) {}

    private final long span;
    private final Set<ReplayKey> known = new HashSet<>();
    private final ArrayDeque<TimedKey> ends = new ArrayDeque<>();

    /** @param span seconds from when a mark was made until the message cannot come again */
    public ReplayWindow(long span) {
        this.span = span;
    }

    public void add(long at, byte[] mark) {
        ReplayKey made = new ReplayKey(mark);
        expire(at);
        if (known.add(made)) {
            ends.add(new TimedKey(at, made));
        }
    }

    public boolean contains(byte[] mark) {
        return known.contains(new ReplayKey(mark));
    }

    /** Lets go of what cannot come again. */
    public void expire(long now) {
        while (!ends.isEmpty() && now - ends.peek().at > span) {
            known.remove(ends.poll().mark);
        }
    }

    public int size() {
        return known.size();
    }
}
