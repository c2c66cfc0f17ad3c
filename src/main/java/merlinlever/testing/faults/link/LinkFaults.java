package merlinlever.testing.faults.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The faults of each one-way link between the processes of a test, which may change while they run. Without input, output,
 * thread or clock: the proxies ask when a datagram or a part of a stream leaves the link, and carry it out.
 */
public final class LinkFaults {

    /**
     * The faults of one link.
     *
     * @param drop the fraction of datagrams that are lost
     * @param duplicate the fraction of datagrams that arrive twice
     * @param delay added to everything
     * @param jitter the most that is added at random; datagrams may overtake each other by it, a stream keeps its order
     * @param bytesPerSecond the bandwidth, 0 for no limit
     * @param cut whether nothing passes: datagrams are lost, a stream is held, as TCP sees a partition
     */
    public record LinkFault(
            double drop, double duplicate, Duration delay, Duration jitter, long bytesPerSecond, boolean cut) {
        /** A link without faults. */
        public static final LinkFault NONE = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, false);
        /** A link that nothing passes. */
        public static final LinkFault CUT = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, true);

        /** Checks the ranges. */
        public LinkFault {
            if (!(drop >= 0 && drop <= 1 && duplicate >= 0 && duplicate <= 1)
                    || delay.isNegative()
                    || jitter.isNegative()
                    || bytesPerSecond < 0) {
                throw new IllegalArgumentException(
                        "drop and duplicate from 0 to 1, delay, jitter and bytes a second not below 0");
            }
        }

        /** A link with a delay and no other fault. */
        public static LinkFault delayed(Duration delay, Duration jitter) {
            return new LinkFault(0, 0, delay, jitter, 0, false);
        }

        /** A link that loses a fraction of the datagrams. */
        public static LinkFault lossy(double drop) {
            return new LinkFault(drop, 0, Duration.ZERO, Duration.ZERO, 0, false);
        }

        /** A link with a limited bandwidth. */
        public static LinkFault slow(long bytesPerSecond) {
            return new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, bytesPerSecond, false);
        }
    }

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final int members;
    /** By the indexes of the sender and the receiver, as the following. */
    private final LinkFault[][] faults;
    /** When a link has carried what it was given, for the bandwidth and for the order of a stream. */
    private final Duration[][] freeAt;

    private final long[][] resets;

    /** Links without faults between so many members, which are named by their index. */
    public LinkFaults(int members) {
        this.members = members;
        faults = new LinkFault[members][members];
        freeAt = new Duration[members][members];
        resets = new long[members][members];
        for (int i = 0; i < members; i++) {
            Arrays.fill(faults[i], LinkFault.NONE);
            Arrays.fill(freeAt[i], Duration.ZERO);
        }
    }

    /** How many members the links connect. */
    public int members() {
        return members;
    }

    /** The faults of the link now. */
    public LinkFault fault(int from, int to) {
        return faults[from][to];
    }

    /** Sets the faults of a link one way. */
    public void set(int from, int to, LinkFault fault) {
        faults[from][to] = fault;
    }

    /** Sets the faults of a link both ways. */
    public void setBothWays(int one, int other, LinkFault fault) {
        set(one, other, fault);
        set(other, one, fault);
    }

    /** Cuts every link between two sides, both ways. All other links stay as they are. */
    public void partition(List<Set<Integer>> sides) {
        for (int i = 0; i < sides.size(); i++) {
            for (Set<Integer> other : sides.subList(i + 1, sides.size())) {
                sides.get(i).forEach(one -> other.forEach(another -> setBothWays(one, another, LinkFault.CUT)));
            }
        }
    }

    /**
     * Cuts one member off from all the others.
     *
     * @param oneWay whether only what it sends is lost
     */
    public void isolate(int member, boolean oneWay) {
        for (int other = 0; other < members; other++) {
            if (other != member) {
                set(member, other, LinkFault.CUT);
                if (!oneWay) {
                    set(other, member, LinkFault.CUT);
                }
            }
        }
    }

    /** Removes the faults of all links; streams that were held go on. */
    public void heal() {
        for (LinkFault[] row : faults) {
            Arrays.fill(row, LinkFault.NONE);
        }
    }

    /** Resets the connections between the two that are open now. */
    public void reset(int one, int other) {
        resets[one][other]++;
        resets[other][one]++;
    }

    /** How often the link was reset: a connection opened under a smaller number is reset. */
    public long resets(int from, int to) {
        return resets[from][to];
    }

    /** When a datagram that arrived now leaves the link: never if it is lost, twice if it is duplicated. */
    public List<Duration> datagram(Duration now, int from, int to, int size, SplittableRandom random) {
        LinkFault fault = faults[from][to];
        List<Duration> departures = new ArrayList<>(2);
        if (fault.cut() || random.nextDouble() < fault.drop()) {
            return departures;
        }
        int copies = random.nextDouble() < fault.duplicate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            Duration leaves = now.plus(fault.delay()).plus(jitter(fault, random));
            if (fault.bytesPerSecond() > 0) {
                Duration start = later(leaves, freeAt[from][to]);
                freeAt[from][to] = start.plus(transmissionTime(size, fault.bytesPerSecond()));
                leaves = freeAt[from][to];
            }
            departures.add(leaves);
        }
        return departures;
    }

    /**
     * When bytes of a stream that arrived now leave the link, never before earlier ones; empty while the link is cut, so
     * that the caller has to ask again later.
     */
    public Optional<Duration> stream(Duration now, int from, int to, int size, SplittableRandom random) {
        LinkFault fault = faults[from][to];
        if (fault.cut()) {
            return Optional.empty();
        }
        Duration leaves = later(now.plus(fault.delay()).plus(jitter(fault, random)), freeAt[from][to]);
        if (fault.bytesPerSecond() > 0) {
            leaves = leaves.plus(transmissionTime(size, fault.bytesPerSecond()));
        }
        freeAt[from][to] = leaves;
        return Optional.of(leaves);
    }

    private static Duration jitter(LinkFault fault, SplittableRandom random) {
        return fault.jitter().isZero()
                ? Duration.ZERO
                : Duration.ofNanos(random.nextLong(fault.jitter().toNanos() + 1));
    }

    private static Duration transmissionTime(int size, long bytesPerSecond) {
        return Duration.ofNanos(Math.max(1, size * NANOS_PER_SECOND / bytesPerSecond));
    }

    private static Duration later(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
