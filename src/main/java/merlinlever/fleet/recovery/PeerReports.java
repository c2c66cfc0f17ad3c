package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Tracks the peers of a recovering process: whether each peer is alive, when to query it next, and its report. Does no
 * I/O; not thread-safe.
 */
final class PeerReports {

    /** A difference between clocks up to this value is tolerated, in addition to the round-trip time of the query. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);
    /** Maximum number of unanswered queries per peer whose report is still accepted. */
    private static final int MAX_PENDING_QUERIES = 16;

    private static final class Peer {
        /** Send times of the unanswered queries, by correlation id. */
        private final LinkedHashMap<Long, Duration> pendingQueries = new LinkedHashMap<>();

        private Duration nextQueryAt;
        private Duration retryDelay;
        private boolean alive;
        private boolean reported;
        private double learnedCapacity;
        /** Lower bound of the offset of the peer's clock from the clock of this process. */
        private long minClockOffsetMs;
        /** Upper bound of the offset of the peer's clock from the clock of this process. */
        private long maxClockOffsetMs;
    }

    private final RecoverySettings settings;
    private final SplittableRandom random;
    private final Map<String, Peer> peers = new TreeMap<>();
    private long lastCorrelationId;

    PeerReports(RecoverySettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        lastCorrelationId = random.nextLong() >>> 16;
    }

    /** Records whether membership considers the peer alive. */
    void statusChanged(Duration now, String name, boolean alive) {
        Peer peer = peers.get(name);
        if (peer == null) {
            if (!alive || peers.size() >= settings.maxPeersQueried()) {
                return;
            }
            peer = new Peer();
            peer.nextQueryAt = now.plus(randomUpTo(settings.firstQuerySpread()));
            peer.retryDelay = settings.initialRetryDelay();
            peers.put(name, peer);
        }
        peer.alive = alive;
    }

    /** Records a report; a report without a pending query is ignored. */
    void reportReceived(Duration now, long unixNow, String name, long correlationId, PeerReport report) {
        Peer peer = peers.get(name);
        Duration sentAt = peer == null ? null : peer.pendingQueries.get(correlationId);
        if (sentAt == null) {
            return;
        }
        peer.pendingQueries.clear();
        peer.reported = true;
        peer.learnedCapacity = report.learnedCapacity();
        // The peer read its clock between the sending of the query and now.
        long roundTripMs = now.minus(sentAt).toMillis();
        peer.minClockOffsetMs = report.unixMs() - unixNow;
        peer.maxClockOffsetMs = peer.minClockOffsetMs + roundTripMs;
    }

    /** Returns queries to all live peers that have not reported and whose retry delay has passed. */
    List<PeerQuery> dueQueries(Duration now) {
        List<PeerQuery> due = new ArrayList<>();
        peers.forEach((name, peer) -> {
            if (peer.alive && !peer.reported && now.compareTo(peer.nextQueryAt) >= 0) {
                due.add(new PeerQuery(name, recordQuery(now, peer)));
            }
        });
        return due;
    }

    private long recordQuery(Duration now, Peer peer) {
        long correlationId = ++lastCorrelationId;
        peer.pendingQueries.put(correlationId, now);
        if (peer.pendingQueries.size() > MAX_PENDING_QUERIES) {
            Long oldest = peer.pendingQueries.keySet().iterator().next();
            peer.pendingQueries.remove(oldest);
        }
        peer.nextQueryAt = now.plus(peer.retryDelay).plus(randomUpTo(peer.retryDelay.dividedBy(2)));
        Duration doubled = peer.retryDelay.multipliedBy(2);
        peer.retryDelay = doubled.compareTo(settings.maxRetryDelay()) > 0 ? settings.maxRetryDelay() : doubled;
        return correlationId;
    }

    private Duration randomUpTo(Duration bound) {
        return Duration.ofNanos(random.nextLong(bound.toNanos() + 1));
    }

    /** Returns the number of peers that have been alive at any time. */
    int knownCount() {
        return peers.size();
    }

    long aliveCount() {
        return peers.values().stream().filter(peer -> peer.alive).count();
    }

    int reportedCount() {
        return (int) peers.values().stream().filter(peer -> peer.reported).count();
    }

    boolean allAliveReported() {
        return peers.values().stream().allMatch(peer -> peer.reported || !peer.alive);
    }

    /** Returns whether the clocks of more than half of the reporting peers differ from the clock of this process. */
    boolean mostClocksDiffer() {
        long differing = peers.values().stream()
                .filter(peer -> peer.reported && isClockOff(peer))
                .count();
        return differing > reportedCount() - differing;
    }

    private static boolean isClockOff(Peer peer) {
        return peer.maxClockOffsetMs < -MAX_CLOCK_SKEW.toMillis() || peer.minClockOffsetMs > MAX_CLOCK_SKEW.toMillis();
    }

    /** Returns the median of the capacities that peers have learned, or 0 if no peer has learned one. */
    double medianLearnedCapacity() {
        List<Double> learned = peers.values().stream()
                .filter(peer -> peer.reported && peer.learnedCapacity > 0)
                .map(peer -> peer.learnedCapacity)
                .sorted()
                .toList();
        return learned.isEmpty() ? 0 : learned.get(learned.size() / 2);
    }
}
