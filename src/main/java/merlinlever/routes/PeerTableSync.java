package merlinlever.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.replication.VersionedEntry;

/**
 * What the backends of one site tell each other of partners: the tables as shared words, which may come late, and how long they
 * hold as answers, which count from the question. So of one lease nobody has more than who heard the partner itself.
 *
 * <p>Words: {@code K/site} asks what is held, {@code L/site/incarnation/sequence/digest/left} says it.
 */
public final class PeerTableSync {

    /** Something to be said to another. */
    public record TableMessage(String recipient, long correlationId, String text) {}

    /** The last question about a partner, and who has had the longest lease of it. */
    private static final class LeaseQuery {
        long correlationId;
        Duration sentAt;
        String bestPeer;
        long bestRemainingMs;
        boolean bestAnswered;
    }

    private static final Duration MIN_QUERY_INTERVAL = Duration.ofMillis(100);

    private final RoutingTable routes;
    private final SplittableRandom random;
    private final TableChunks chunks = new TableChunks();
    private final Map<String, LeaseQuery> queries = new TreeMap<>();
    private long lastCorrelationId;

    /** @param first number of its questions, which no other life of this backend comes near */
    public PeerTableSync(RoutingTable routes, long first, SplittableRandom random) {
        this.routes = routes;
        this.random = random;
        lastCorrelationId = first;
    }

    /** What is to be passed on of a table that was read here. */
    public static List<VersionedEntry> toEntries(RouteTable table) {
        return TableChunks.split(table);
    }

    /** A shared word came; true where it completed a table that is newer. */
    public boolean receiveEntry(Duration now, VersionedEntry snapshot) {
        RouteTable table = chunks.receive(snapshot);
        return table != null && routes.offer(now, table);
    }

    /** Whether the word is part of a table. */
    public static boolean isChunk(VersionedEntry snapshot) {
        return snapshot.topic().startsWith("routes.");
    }

    /** What is to be asked now: of each partner whose lease is a quarter over, each eighth of it whoever had the most of it and another one. */
    public List<TableMessage> dueQueries(Duration now, List<String> peers) {
        List<TableMessage> messages = new ArrayList<>();
        for (String site : routes.partners()) {
            RoutingTable.TableLease held = routes.lease(now, site);
            Duration lease = held == null
                    ? RouteTable.MIN_LEASE.multipliedBy(4)
                    : routes.latest(site).lease();
            Duration interval = lease.dividedBy(8).compareTo(MIN_QUERY_INTERVAL) < 0 ? MIN_QUERY_INTERVAL : lease.dividedBy(8);
            LeaseQuery query = queries.computeIfAbsent(site, each -> new LeaseQuery());
            if (!peers.isEmpty()
                    && (held == null
                            || held.remaining().compareTo(lease.multipliedBy(3).dividedBy(4)) < 0)
                    && (query.sentAt == null || now.minus(query.sentAt).compareTo(interval) >= 0)) {
                query.correlationId = ++lastCorrelationId;
                query.sentAt = now;
                query.bestRemainingMs = query.bestAnswered ? query.bestRemainingMs : 0;
                query.bestAnswered = false;
                String peer = peers.get(random.nextInt(peers.size()));
                messages.add(new TableMessage(peer, lastCorrelationId, "K/" + site));
                if (query.bestPeer != null && !query.bestPeer.equals(peer) && peers.contains(query.bestPeer)) {
                    messages.add(new TableMessage(query.bestPeer, lastCorrelationId, "K/" + site));
                }
            }
        }
        return messages;
    }

    /** Another said that; returns what is said to it. */
    public List<TableMessage> receive(Duration now, String sender, long correlationId, String text) {
        String[] parts = text.split("/", -1);
        if (parts[0].equals("K") && parts.length == 2) {
            RoutingTable.TableLease held = routes.lease(now, parts[1]);
            return held == null || held.remaining().isZero()
                    ? List.of()
                    : List.of(new TableMessage(
                            sender,
                            correlationId,
                            "L/" + parts[1] + "/" + held.incarnation() + "/" + held.sequence() + "/" + held.digest()
                                    + "/" + held.remaining().toMillis()));
        }
        LeaseQuery query = parts.length == 6 ? queries.get(parts[1]) : null;
        if (parts[0].equals("L") && query != null && query.correlationId == correlationId) {
            try {
                long remainingMs = Long.parseLong(parts[5]);
                if (remainingMs >= 0 && remainingMs <= RouteTable.MAX_LEASE.toMillis()) {
                    if (sender.equals(query.bestPeer) || remainingMs > query.bestRemainingMs) {
                        query.bestPeer = sender;
                        query.bestRemainingMs = remainingMs;
                        query.bestAnswered = true;
                    }
                    routes.renew(
                            now,
                            parts[1],
                            Long.parseLong(parts[2]),
                            Long.parseLong(parts[3]),
                            parts[4],
                            query.sentAt,
                            Duration.ofMillis(remainingMs));
                }
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        return List.of();
    }
}
