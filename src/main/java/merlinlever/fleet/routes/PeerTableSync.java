package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.replication.VersionedEntry;

/**
 * Exchanges the route tables of partners among the backends of one site. The tables are replicated as entries; the
 * remaining lease of a table is requested from a peer. A lease from an answer starts when the query was sent, and so
 * never ends later than the lease of the backend that got the table from the partner. Not thread-safe.
 *
 * <p>Messages: the query {@code K/site}, and the answer {@code L/site/incarnation/sequence/digest/remaining} with the
 * remaining lease in milliseconds.
 */
public final class PeerTableSync {

    private static final String QUERY = "K";
    private static final String ANSWER = "L";
    private static final Duration MIN_QUERY_INTERVAL = Duration.ofMillis(100);

    /** The last query about a partner, and the peer that reported the longest remaining lease. */
    private static final class LeaseQuery {
        private long correlationId;
        private Duration sentAt;
        private String bestPeer;
        private long bestRemainingMs;
        private boolean bestAnswered;

        void restart(long newCorrelationId, Duration now) {
            correlationId = newCorrelationId;
            sentAt = now;
            bestRemainingMs = bestAnswered ? bestRemainingMs : 0;
            bestAnswered = false;
        }

        void recordAnswer(String peer, long remainingMs) {
            if (peer.equals(bestPeer) || remainingMs > bestRemainingMs) {
                bestPeer = peer;
                bestRemainingMs = remainingMs;
                bestAnswered = true;
            }
        }
    }

    private final RoutingTable routingTable;
    private final SplittableRandom random;
    private final TableChunks chunks = new TableChunks();
    private final Map<String, LeaseQuery> queries = new TreeMap<>();
    private long lastCorrelationId;

    /**
     * Creates a synchronization that has not sent a query.
     *
     * @param firstCorrelationId start of the correlation ids, in a range that no other incarnation of this backend
     *     uses
     */
    public PeerTableSync(RoutingTable routingTable, long firstCorrelationId, SplittableRandom random) {
        this.routingTable = routingTable;
        this.random = random;
        lastCorrelationId = firstCorrelationId;
    }

    /** Returns the entries that replicate a table. */
    public static List<VersionedEntry> toEntries(RouteTable table) {
        return TableChunks.split(table);
    }

    /** Handles an entry from a peer; returns whether the entry completed a table newer than the latest known one. */
    public boolean receiveEntry(Duration now, VersionedEntry entry) {
        RouteTable table = chunks.receive(entry);
        return table != null && routingTable.offer(now, table);
    }

    /** Whether the entry is a chunk of a table. */
    public static boolean isChunk(VersionedEntry entry) {
        return TableChunks.isChunk(entry);
    }

    /**
     * Returns the queries to send now. A partner is queried once a quarter of its lease has passed, and again after
     * each eighth of the lease. Each query goes to a random peer and to the peer that last reported the longest
     * remaining lease.
     */
    public List<PeerMessage.Text> dueQueries(Duration now, List<String> peers) {
        List<PeerMessage.Text> messages = new ArrayList<>();
        for (String partner : routingTable.partners()) {
            RoutingTable.TableLease tableLease = routingTable.lease(now, partner);
            Duration lease = tableLease == null
                    ? RouteTable.MIN_LEASE.multipliedBy(4)
                    : routingTable.latestTable(partner).lease();
            Duration eighth = lease.dividedBy(8);
            Duration interval = eighth.compareTo(MIN_QUERY_INTERVAL) < 0 ? MIN_QUERY_INTERVAL : eighth;
            LeaseQuery query = queries.computeIfAbsent(partner, site -> new LeaseQuery());
            boolean needsRenewal = tableLease == null
                    || tableLease.remaining().compareTo(lease.multipliedBy(3).dividedBy(4)) < 0;
            boolean isDue = query.sentAt == null || now.minus(query.sentAt).compareTo(interval) >= 0;
            if (!peers.isEmpty() && needsRenewal && isDue) {
                lastCorrelationId++;
                query.restart(lastCorrelationId, now);
                String text = QUERY + "/" + partner;
                String peer = peers.get(random.nextInt(peers.size()));
                messages.add(new PeerMessage.Text(peer, lastCorrelationId, text));
                if (query.bestPeer != null && !query.bestPeer.equals(peer) && peers.contains(query.bestPeer)) {
                    messages.add(new PeerMessage.Text(query.bestPeer, lastCorrelationId, text));
                }
            }
        }
        return messages;
    }

    /** Handles a message from a peer and returns the messages to send in reply. Malformed messages are ignored. */
    public List<PeerMessage.Text> receive(Duration now, String sender, long correlationId, String text) {
        String[] fields = text.split("/", -1);
        if (fields[0].equals(QUERY) && fields.length == 2) {
            return answer(now, sender, correlationId, fields[1]);
        }
        if (fields[0].equals(ANSWER) && fields.length == 6) {
            receiveAnswer(now, sender, correlationId, fields);
        }
        return List.of();
    }

    private List<PeerMessage.Text> answer(Duration now, String sender, long correlationId, String partner) {
        RoutingTable.TableLease tableLease = routingTable.lease(now, partner);
        if (tableLease == null || tableLease.remaining().isZero()) {
            return List.of();
        }
        String text = ANSWER + "/" + partner + "/" + tableLease.incarnation() + "/" + tableLease.sequence() + "/"
                + tableLease.digest() + "/" + tableLease.remaining().toMillis();
        return List.of(new PeerMessage.Text(sender, correlationId, text));
    }

    private void receiveAnswer(Duration now, String sender, long correlationId, String[] fields) {
        String partner = fields[1];
        LeaseQuery query = queries.get(partner);
        if (query == null || query.correlationId != correlationId) {
            return;
        }
        try {
            long remainingMs = Long.parseLong(fields[5]);
            if (remainingMs < 0 || remainingMs > RouteTable.MAX_LEASE.toMillis()) {
                return;
            }
            query.recordAnswer(sender, remainingMs);
            RoutingTable.Renewal renewal = new RoutingTable.Renewal(
                    partner,
                    Long.parseLong(fields[2]),
                    Long.parseLong(fields[3]),
                    fields[4],
                    query.sentAt,
                    Duration.ofMillis(remainingMs));
            routingTable.renew(now, renewal);
        } catch (NumberFormatException e) {
            // A malformed answer is ignored like a lost one.
            return;
        }
    }
}
