package merlinlever.testing.faults.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The faults of each one-way link between the processes of a test, which may change during the test. This class has no
 * I/O, thread or clock: it computes when a datagram or a part of a stream leaves a link, and the proxies forward the data
 * at that time.
 */
public final class LinkFaults {

    /**
     * The faults of one link.
     *
     * @param drop fraction of datagrams that are lost
     * @param duplicate fraction of datagrams that arrive twice
     * @param delay fixed delay of all data
     * @param jitter maximum random delay; it may reorder datagrams but not the bytes of a stream
     * @param bytesPerSecond bandwidth; 0 for no limit
     * @param cut whether the link is partitioned: datagrams are lost, and streams are held
     */
    public record LinkFault(
            double drop, double duplicate, Duration delay, Duration jitter, long bytesPerSecond, boolean cut) {
        /** A link without faults. */
        public static final LinkFault NONE = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, false);
        /** A partitioned link. */
        public static final LinkFault CUT = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, true);

        /** Checks the ranges. */
        public LinkFault {
            if (!(drop >= 0 && drop <= 1 && duplicate >= 0 && duplicate <= 1)
                    || delay.isNegative()
                    || jitter.isNegative()
                    || bytesPerSecond < 0) {
                throw new IllegalArgumentException(
                        "drop and duplicate must be from 0 to 1; delay, jitter and bytesPerSecond must not be negative");
            }
        }

        /** Creates a fault that delays data. */
        public static LinkFault delayed(Duration delay, Duration jitter) {
            return new LinkFault(0, 0, delay, jitter, 0, false);
        }

        /** Creates a fault that loses a fraction of the datagrams. */
        public static LinkFault lossy(double drop) {
            return new LinkFault(drop, 0, Duration.ZERO, Duration.ZERO, 0, false);
        }

        /** Creates a fault that limits the bandwidth. */
        public static LinkFault slow(long bytesPerSecond) {
            return new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, bytesPerSecond, false);
        }
    }

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final int members;
    /** Indexed by sender and receiver, like the other arrays. */
    private final LinkFault[][] faults;
    /** Time at which each link has sent all data; limits the bandwidth and keeps streams in order. */
    private final Duration[][] freeAt;

    private final long[][] resets;

    /** Creates links without faults between the given number of members. */
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

    /** Returns the number of members. */
    public int members() {
        return members;
    }

    /** Returns the current faults of a link. */
    public LinkFault fault(int from, int to) {
        return faults[from][to];
    }

    /** Sets the faults of a link in one direction. */
    public void set(int from, int to, LinkFault fault) {
        faults[from][to] = fault;
    }

    /** Sets the faults between two members in both directions. */
    public void setBothWays(int one, int other, LinkFault fault) {
        set(one, other, fault);
        set(other, one, fault);
    }

    /** Cuts all links between members of different sides, in both directions, and keeps the others unchanged. */
    public void partition(List<Set<Integer>> sides) {
        for (int i = 0; i < sides.size(); i++) {
            for (Set<Integer> other : sides.subList(i + 1, sides.size())) {
                sides.get(i).forEach(one -> other.forEach(peer -> setBothWays(one, peer, LinkFault.CUT)));
            }
        }
    }

    /**
     * Cuts the links between one member and all others.
     *
     * @param oneWay whether to cut only the links from the member
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

    /** Removes the faults of all links; held streams resume. */
    public void heal() {
        for (LinkFault[] row : faults) {
            Arrays.fill(row, LinkFault.NONE);
        }
    }

    /** Resets the open connections between two members. */
    public void reset(int one, int other) {
        resets[one][other]++;
        resets[other][one]++;
    }

    /** Returns the number of resets of a link; connections opened at a lower number must be aborted. */
    public long resets(int from, int to) {
        return resets[from][to];
    }

    /** Returns when a datagram that arrives now leaves the link; empty for a lost datagram, two times for a duplicate. */
    public List<Duration> datagram(Duration now, int from, int to, int size, SplittableRandom random) {
        LinkFault fault = faults[from][to];
        List<Duration> departures = new ArrayList<>(2);
        if (fault.cut() || random.nextDouble() < fault.drop()) {
            return departures;
        }
        int copies = random.nextDouble() < fault.duplicate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            Duration departure = now.plus(fault.delay()).plus(jitter(fault, random));
            if (fault.bytesPerSecond() > 0) {
                Duration start = later(departure, freeAt[from][to]);
                freeAt[from][to] = start.plus(transmissionTime(size, fault.bytesPerSecond()));
                departure = freeAt[from][to];
            }
            departures.add(departure);
        }
        return departures;
    }

    /**
     * Returns when bytes of a stream that arrive now leave the link, in order after earlier bytes. Empty while the link is
     * cut; the proxy then has to try again later.
     */
    public Optional<Duration> stream(Duration now, int from, int to, int size, SplittableRandom random) {
        LinkFault fault = faults[from][to];
        if (fault.cut()) {
            return Optional.empty();
        }
        Duration departure = later(now.plus(fault.delay()).plus(jitter(fault, random)), freeAt[from][to]);
        if (fault.bytesPerSecond() > 0) {
            departure = departure.plus(transmissionTime(size, fault.bytesPerSecond()));
        }
        freeAt[from][to] = departure;
        return Optional.of(departure);
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
