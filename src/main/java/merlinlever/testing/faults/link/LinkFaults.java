package merlinlever.testing.faults.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What each one-way link between the processes of a test does to what it carries, changed while they run. Decisions alone:
 * the proxies ask, with the time and the size, when something goes on, and carry it out.
 */
public final class LinkFaults {

    /**
     * What one link does.
     *
     * @param drop share of datagrams lost
     * @param duplicate share of datagrams that arrive twice
     * @param delay added to all
     * @param jitter up to so much more, drawn; datagrams may overtake each other by it, a stream keeps its order
     * @param bytesPerSecond 0 for no bound
     * @param cut nothing passes: datagrams are lost, a stream is held (a partition looks so to TCP)
     */
    public record LinkFault(
            double drop, double duplicate, Duration delay, Duration jitter, long bytesPerSecond, boolean cut) {
        public static final LinkFault NONE = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, false);
        public static final LinkFault CUT = new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, 0, true);

        public LinkFault {
            if (!(drop >= 0 && drop <= 1 && duplicate >= 0 && duplicate <= 1)
                    || delay.isNegative()
                    || jitter.isNegative()
                    || bytesPerSecond < 0) {
                throw new IllegalArgumentException(
                        "drop and duplicate from 0 to 1, delay, jitter and bytes a second not below 0");
            }
        }

        public static LinkFault delayed(Duration delay, Duration jitter) {
            return new LinkFault(0, 0, delay, jitter, 0, false);
        }

        public static LinkFault lossy(double drop) {
            return new LinkFault(drop, 0, Duration.ZERO, Duration.ZERO, 0, false);
        }

        public static LinkFault slow(long bytesPerSecond) {
            return new LinkFault(0, 0, Duration.ZERO, Duration.ZERO, bytesPerSecond, false);
        }
    }

    private final int members;
    private final LinkFault[][] faults;
    /** When a link has carried what it was given, for the bound on bytes a second and for a stream's order. */
    private final Duration[][] freeAt;

    private final long[][] resets;

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

    public int members() {
        return members;
    }

    public LinkFault of(int from, int to) {
        return faults[from][to];
    }

    /** One way. */
    public void set(int from, int to, LinkFault fault) {
        faults[from][to] = fault;
    }

    /** Both ways. */
    public void both(int one, int other, LinkFault fault) {
        set(one, other, fault);
        set(other, one, fault);
    }

    /** Cuts every link between two sides, both ways; links within a side are left as they are. Others are not touched. */
    public void partition(List<Set<Integer>> sides) {
        for (int a = 0; a < sides.size(); a++) {
            for (int b = 0; b < sides.size(); b++) {
                if (a != b) {
                    for (int from : sides.get(a)) {
                        for (int to : sides.get(b)) {
                            set(from, to, LinkFault.CUT);
                        }
                    }
                }
            }
        }
    }

    /** Cuts one member off from all the others; with oneWay only what it sends is lost. */
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

    /** Every link as it was; what is held in streams goes on. */
    public void heal() {
        for (LinkFault[] row : faults) {
            Arrays.fill(row, LinkFault.NONE);
        }
    }

    /** Connections of the link that are open now are broken off hard (a reset), both ways. */
    public void reset(int one, int other) {
        resets[one][other]++;
        resets[other][one]++;
    }

    /** Grows with each reset of the link: a connection opened under a smaller one is reset. */
    public long resets(int from, int to) {
        return resets[from][to];
    }

    /** When a datagram that came now goes on: none where it is lost, two where it is duplicated. */
    public List<Duration> datagram(Duration now, int from, int to, int size, SplittableRandom chance) {
        LinkFault fault = faults[from][to];
        List<Duration> at = new ArrayList<>(2);
        if (fault.cut() || chance.nextDouble() < fault.drop()) {
            return at;
        }
        int copies = chance.nextDouble() < fault.duplicate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            Duration leaves = now.plus(fault.delay()).plus(jitter(fault, chance));
            if (fault.bytesPerSecond() > 0) {
                Duration start = max(leaves, freeAt[from][to]);
                freeAt[from][to] = start.plus(carrying(size, fault.bytesPerSecond()));
                leaves = freeAt[from][to];
            }
            at.add(leaves);
        }
        return at;
    }

    /**
     * When octets of a stream that came now go on, never before what the link carried before them; null while the link is
     * cut, and they are asked about again later.
     */
    public Duration stream(Duration now, int from, int to, int size, SplittableRandom chance) {
        LinkFault fault = faults[from][to];
        if (fault.cut()) {
            return null;
        }
        Duration leaves = max(now.plus(fault.delay()).plus(jitter(fault, chance)), freeAt[from][to]);
        if (fault.bytesPerSecond() > 0) {
            leaves = leaves.plus(carrying(size, fault.bytesPerSecond()));
        }
        freeAt[from][to] = leaves;
        return leaves;
    }

    private static Duration jitter(LinkFault fault, SplittableRandom chance) {
        return fault.jitter().isZero()
                ? Duration.ZERO
                : Duration.ofNanos(chance.nextLong(fault.jitter().toNanos() + 1));
    }

    private static Duration carrying(int size, long bytesPerSecond) {
        return Duration.ofNanos(Math.max(1, size * 1_000_000_000L / bytesPerSecond));
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
