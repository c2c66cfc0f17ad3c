package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The peers of a process that recovers: which of them are alive, when each is to be queried next, and what it reported.
 * Does no I/O; not thread-safe.
 */
final class PeerReports {

    /** Peers' clocks are compared up to this, beside the time that query and report were under way. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);
    /** Unanswered queries to one peer whose report is still accepted. */
    private static final int MAX_PENDING_QUERIES = 16;

    private static final class Peer {
        /** Unanswered queries by correlation id, with the moment at which each was sent. */
        private final LinkedHashMap<Long, Duration> pendingQueries = new LinkedHashMap<>();

        private Duration nextQueryAt;
        private Duration retryDelay;
        private boolean alive;
        private boolean reported;
        private double learnedCapacity;
        /** By how much its clock is ahead of this process's at least. */
        private long minClockLeadMs;
        /** By how much its clock is ahead of this process's at most. */
        private long maxClockLeadMs;
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

    /** Membership holds the peer alive, or not. */
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

    /** A report arrived; one that answers no pending query is ignored. */
    void reportReceived(Duration now, long unixNow, String name, long correlationId, PeerReport report) {
        Peer peer = peers.get(name);
        Duration sentAt = peer == null ? null : peer.pendingQueries.get(correlationId);
        if (sentAt == null) {
            return;
        }
        peer.pendingQueries.clear();
        peer.reported = true;
        peer.learnedCapacity = report.learnedCapacity();
        // The peer read its clock at some moment between the query and now.
        long roundTripMs = now.minus(sentAt).toMillis();
        peer.minClockLeadMs = report.unixMs() - unixNow;
        peer.maxClockLeadMs = peer.minClockLeadMs + roundTripMs;
    }

    /** The queries to be sent now: to each live peer that has not reported and whose retry delay is over. */
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

    /** Peers that have been alive at any time. */
    int knownCount() {
        return peers.size();
    }

    long aliveCount() {
        return peers.values().stream().filter(peer -> peer.alive).count();
    }

    int reportedCount() {
        return (int) peers.values().stream().filter(peer -> peer.reported).count();
    }

    boolean haveAllAliveReported() {
        return peers.values().stream().allMatch(peer -> peer.reported || !peer.alive);
    }

    /** Whether more of the reporting peers have another time than have the same; one against one counts as not. */
    boolean doMostClocksDiffer() {
        long differing = peers.values().stream()
                .filter(peer -> peer.reported && isClockOff(peer))
                .count();
        return differing > reportedCount() - differing;
    }

    private static boolean isClockOff(Peer peer) {
        return peer.maxClockLeadMs < -MAX_CLOCK_SKEW.toMillis() || peer.minClockLeadMs > MAX_CLOCK_SKEW.toMillis();
    }

    /** The median of the capacities that peers have learned, 0 if none has. */
    double medianLearnedCapacity() {
        List<Double> learned = peers.values().stream()
                .filter(peer -> peer.reported && peer.learnedCapacity > 0)
                .map(peer -> peer.learnedCapacity)
                .sorted()
                .toList();
        return learned.isEmpty() ? 0 : learned.get(learned.size() / 2);
    }
}
