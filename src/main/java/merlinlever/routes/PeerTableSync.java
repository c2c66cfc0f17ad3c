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
    public record TableMessage(String to, long number, String what) {}

    /** The last question about a partner, and who has had the longest lease of it. */
    private static final class LeaseQuery {
        long number;
        Duration at;
        String best;
        long bestLeft;
        boolean bestAnswered;
    }

    private static final Duration SHORTEST = Duration.ofMillis(100);

    private final RoutingTable routes;
    private final SplittableRandom chance;
    private final TableChunks parts = new TableChunks();
    private final Map<String, LeaseQuery> asked = new TreeMap<>();
    private long number;

    /** @param first number of its questions, which no other life of this backend comes near */
    public PeerTableSync(RoutingTable routes, long first, SplittableRandom chance) {
        this.routes = routes;
        this.chance = chance;
        number = first;
    }

    /** What is to be passed on of a table that was read here. */
    public static List<VersionedEntry> words(RouteTable table) {
        return TableChunks.cut(table);
    }

    /** A shared word came; true where it completed a table that is newer. */
    public boolean came(Duration now, VersionedEntry word) {
        RouteTable table = parts.came(word);
        return table != null && routes.offer(now, table);
    }

    /** Whether the word is part of a table. */
    public static boolean isPart(VersionedEntry word) {
        return word.topic().startsWith("routes.");
    }

    /** What is to be asked now: of each partner whose lease is a quarter over, each eighth of it whoever had the most of it and another one. */
    public List<TableMessage> look(Duration now, List<String> others) {
        List<TableMessage> all = new ArrayList<>();
        for (String site : routes.sites()) {
            RoutingTable.TableLease holds = routes.holds(now, site);
            Duration lease = holds == null
                    ? RouteTable.SHORTEST.multipliedBy(4)
                    : routes.latest(site).lease();
            Duration pause = lease.dividedBy(8).compareTo(SHORTEST) < 0 ? SHORTEST : lease.dividedBy(8);
            LeaseQuery last = asked.computeIfAbsent(site, each -> new LeaseQuery());
            if (!others.isEmpty()
                    && (holds == null
                            || holds.left().compareTo(lease.multipliedBy(3).dividedBy(4)) < 0)
                    && (last.at == null || now.minus(last.at).compareTo(pause) >= 0)) {
                last.number = ++number;
                last.at = now;
                last.bestLeft = last.bestAnswered ? last.bestLeft : 0;
                last.bestAnswered = false;
                String other = others.get(chance.nextInt(others.size()));
                all.add(new TableMessage(other, number, "K/" + site));
                if (last.best != null && !last.best.equals(other) && others.contains(last.best)) {
                    all.add(new TableMessage(last.best, number, "K/" + site));
                }
            }
        }
        return all;
    }

    /** Another said that; returns what is said to it. */
    public List<TableMessage> said(Duration now, String name, long itsNumber, String what) {
        String[] part = what.split("/", -1);
        if (part[0].equals("K") && part.length == 2) {
            RoutingTable.TableLease holds = routes.holds(now, part[1]);
            return holds == null || holds.left().isZero()
                    ? List.of()
                    : List.of(new TableMessage(
                            name,
                            itsNumber,
                            "L/" + part[1] + "/" + holds.incarnation() + "/" + holds.sequence() + "/" + holds.digest()
                                    + "/" + holds.left().toMillis()));
        }
        LeaseQuery last = part.length == 6 ? asked.get(part[1]) : null;
        if (part[0].equals("L") && last != null && last.number == itsNumber) {
            try {
                long left = Long.parseLong(part[5]);
                if (left >= 0 && left <= RouteTable.LONGEST.toMillis()) {
                    if (name.equals(last.best) || left > last.bestLeft) {
                        last.best = name;
                        last.bestLeft = left;
                        last.bestAnswered = true;
                    }
                    routes.stoodBy(
                            now,
                            part[1],
                            Long.parseLong(part[2]),
                            Long.parseLong(part[3]),
                            part[4],
                            last.at,
                            Duration.ofMillis(left));
                }
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        return List.of();
    }
}
