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
 * What the backends of one site tell each other of partners: the tables as replicated entries, which may come late, and how
 * long they are valid as answers, which count from the query. So nobody has more of a lease than the backend that heard the
 * partner itself. Not thread-safe.
 *
 * <p>Texts: {@code K/site} queries what is held, {@code L/site/incarnation/sequence/digest/remaining} answers, in ms.
 */
public final class PeerTableSync {

    private static final String QUERY = "K";
    private static final String ANSWER = "L";
    private static final Duration MIN_QUERY_INTERVAL = Duration.ofMillis(100);

    /** The last query about a partner, and the peer that has had the longest lease of it. */
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

        void noteAnswer(String peer, long remainingMs) {
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
     * A synchronization that has sent no query yet.
     *
     * @param firstCorrelationId which no other incarnation of this backend comes near
     */
    public PeerTableSync(RoutingTable routingTable, long firstCorrelationId, SplittableRandom random) {
        this.routingTable = routingTable;
        this.random = random;
        lastCorrelationId = firstCorrelationId;
    }

    /** The entries to be replicated of a table that was read here. */
    public static List<VersionedEntry> toEntries(RouteTable table) {
        return TableChunks.split(table);
    }

    /** Takes in an entry of a peer; returns whether it completed a table that is newer. */
    public boolean receiveEntry(Duration now, VersionedEntry entry) {
        RouteTable table = chunks.receive(entry);
        return table != null && routingTable.offer(now, table);
    }

    /** Whether the entry is part of a table. */
    public static boolean isChunk(VersionedEntry entry) {
        return TableChunks.isChunk(entry);
    }

    /**
     * The queries to be sent now: about each partner whose lease is a quarter over, every eighth of it, to the peer that had the
     * longest and to another one.
     */
    public List<PeerMessage.Text> dueQueries(Duration now, List<String> peers) {
        List<PeerMessage.Text> messages = new ArrayList<>();
        for (String partner : routingTable.partners()) {
            RoutingTable.TableLease held = routingTable.lease(now, partner);
            Duration lease = held == null
                    ? RouteTable.MIN_LEASE.multipliedBy(4)
                    : routingTable.latestTable(partner).lease();
            Duration eighth = lease.dividedBy(8);
            Duration interval = eighth.compareTo(MIN_QUERY_INTERVAL) < 0 ? MIN_QUERY_INTERVAL : eighth;
            LeaseQuery query = queries.computeIfAbsent(partner, absent -> new LeaseQuery());
            boolean needsRenewal = held == null
                    || held.remaining().compareTo(lease.multipliedBy(3).dividedBy(4)) < 0;
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

    /** Takes in a text of a peer, and returns what is to be sent in answer; one that is not understood is ignored. */
    public List<PeerMessage.Text> receive(Duration now, String sender, long correlationId, String text) {
        String[] parts = text.split("/", -1);
        if (parts[0].equals(QUERY) && parts.length == 2) {
            return answer(now, sender, correlationId, parts[1]);
        }
        if (parts[0].equals(ANSWER) && parts.length == 6) {
            receiveAnswer(now, sender, correlationId, parts);
        }
        return List.of();
    }

    private List<PeerMessage.Text> answer(Duration now, String sender, long correlationId, String partner) {
        RoutingTable.TableLease held = routingTable.lease(now, partner);
        if (held == null || held.remaining().isZero()) {
            return List.of();
        }
        String text = ANSWER + "/" + partner + "/" + held.incarnation() + "/" + held.sequence() + "/" + held.digest()
                + "/" + held.remaining().toMillis();
        return List.of(new PeerMessage.Text(sender, correlationId, text));
    }

    private void receiveAnswer(Duration now, String sender, long correlationId, String[] parts) {
        String partner = parts[1];
        LeaseQuery query = queries.get(partner);
        if (query == null || query.correlationId != correlationId) {
            return;
        }
        try {
            long remainingMs = Long.parseLong(parts[5]);
            if (remainingMs < 0 || remainingMs > RouteTable.MAX_LEASE.toMillis()) {
                return;
            }
            query.noteAnswer(sender, remainingMs);
            RoutingTable.Renewal renewal = new RoutingTable.Renewal(
                    partner,
                    Long.parseLong(parts[2]),
                    Long.parseLong(parts[3]),
                    parts[4],
                    query.sentAt,
                    Duration.ofMillis(remainingMs));
            routingTable.renew(now, renewal);
        } catch (NumberFormatException e) {
            // Malformed: ignored, as any datagram may be lost.
            return;
        }
    }
}
