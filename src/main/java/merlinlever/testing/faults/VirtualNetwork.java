package merlinlever.testing.faults;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time in ms, what happens in it in its order, and words that are late, lost or doubled; all from a seed. */
abstract class VirtualNetwork {

    private record Event(long at, long order, Runnable what) {}

    final SplittableRandom chance;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    public long now;
    public double loss;

    VirtualNetwork(long seed) {
        chance = new SplittableRandom(seed);
    }

    public void later(long ms, Runnable what) {
        events.add(new Event(now + ms, order++, what));
    }

    /** Comes after 1 to 30 ms, one in fifty after up to 4 s, one in twenty twice; or is lost. */
    void carry(Runnable what) {
        if (chance.nextDouble() >= loss) {
            int copies = chance.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                later(1 + (chance.nextInt(50) == 0 ? chance.nextInt(4000) : chance.nextInt(30)), what);
            }
        }
    }

    /** All until then happens. */
    void until(long next) {
        while (!events.isEmpty() && events.peek().at <= next) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.what.run();
        }
        now = next;
    }
}
