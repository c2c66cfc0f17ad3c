package merlinlever.testing.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.common.WireNamed;
import merlinlever.testing.faults.link.LinkFaults;

/**
 * Faults among backends that share a limit of the whole fleet, under more load than it allows: after each the shares are
 * divided anew, and the party that all call counts all the while.
 */
public final class QuotaFaults {

    /** What happens; some of it to whoever divides. */
    public enum QuotaFaultKind implements WireNamed {
        /** One is killed and comes back. */
        KILL("kill"),
        /** Whoever divides is killed while it grants. */
        KILL_LEADER("kill-leader"),
        /** One is paused beyond its lease and goes on. */
        PAUSE("pause"),
        /** Whoever divides is. */
        PAUSE_LEADER("pause-leader"),
        /** Two sides, and healed. */
        PARTITION("partition"),
        /** Three, none with more than half of the voters, and healed. */
        THREE_SIDES("three-sides"),
        /** The links to whoever divides are slow. */
        SLOW_LEADER("slow-leader"),
        /** A third of the datagrams lost, a third doubled, on every link. */
        LOSSY("lossy"),
        /** All lose their power at once and come back. */
        POWER("power"),
        /** The whole is halved and restored, under load. */
        WHOLE("whole");

        private final String wireName;

        QuotaFaultKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * What one play of a fault showed.
     *
     * @param dividedAfter from the end of the fault until every running backend has a share again
     */
    public record QuotaFaultOutcome(QuotaFaultKind kind, long seed, Duration dividedAfter, List<String> breaches) {
        public String told() {
            StringBuilder text = new StringBuilder(kind.wireName() + ", seed " + Long.toHexString(seed) + ": "
                    + (breaches.isEmpty()
                            ? "passed, divided anew after " + dividedAfter.toMillis() + " ms"
                            : "FAILED"));
            breaches.forEach(breach -> text.append("\n  breach: ").append(breach));
            return text.toString();
        }
    }

    private static final Duration LOOK = Duration.ofMillis(100);

    private final ServeFleet fleet;
    private final Duration patience;
    private final Consumer<String> log;

    public QuotaFaults(ServeFleet fleet, Duration patience, Consumer<String> log) {
        this.fleet = fleet;
        this.patience = patience;
        this.log = log;
    }

    /** Starts all with their callers; returns when each has a share. */
    public void begin() throws IOException, InterruptedException {
        fleet.startAll();
        if (divided() == null) {
            throw new IOException("not every backend has a share within " + patience.toMillis() + " ms; see the logs");
        }
    }

    private JsonNode budget(int i) {
        JsonNode told = fleet.runs(i) ? fleet.told(i) : null;
        return told == null ? null : told.path("recovery").path("budgets").path(0);
    }

    /** Whoever says that it divides, or the first. */
    private int leader() {
        for (int i : fleet.all()) {
            JsonNode budget = budget(i);
            if (budget != null && budget.path("out").asLong(-1) >= 0) {
                return i;
            }
        }
        return 0;
    }

    /** When every running one has a share under one leader; null where that took too long. */
    private Duration divided() throws InterruptedException {
        long began = System.nanoTime();
        while (System.nanoTime() - began < patience.toNanos()) {
            Set<String> leaders = new java.util.HashSet<>();
            boolean each = true;
            for (int i : fleet.all()) {
                if (fleet.runs(i)) {
                    JsonNode budget = budget(i);
                    each &= budget != null && budget.path("share").asLong() > 0;
                    leaders.add(budget == null ? "" : budget.path("leader").asText());
                }
            }
            if (each && leaders.size() == 1) {
                return Duration.ofNanos(System.nanoTime() - began);
            }
            Thread.sleep(LOOK.toMillis());
        }
        return null;
    }

    public QuotaFaultOutcome play(QuotaFaultKind kind, long seed) throws IOException, InterruptedException {
        SplittableRandom chance = new SplittableRandom(seed);
        int[] before = new int[2];
        fleet.on(none -> {
            before[0] = fleet.rules().violations().size();
            before[1] = fleet.shares().violations().size();
        });
        int lease = (int) fleet.stated().budget().lease().toMillis();
        Thread.sleep(chance.nextInt(lease));
        int leader = leader();
        int one = chance.nextInt(fleet.count());
        switch (kind) {
            case KILL, KILL_LEADER -> {
                int who = kind == QuotaFaultKind.KILL ? one : leader;
                fleet.powerOff(who);
                Thread.sleep(chance.nextInt(2 * lease));
                fleet.start(who);
            }
            case PAUSE, PAUSE_LEADER -> {
                String who = fleet.name(kind == QuotaFaultKind.PAUSE ? one : leader);
                // What it owes meanwhile it cannot answer in time; that is not what is looked at here.
                fleet.on(none -> fleet.callers(kind == QuotaFaultKind.PAUSE ? one : leader)
                        .setBackendDown(true));
                fleet.processes().pause(who);
                Thread.sleep(lease + chance.nextInt(2 * lease));
                fleet.on(none -> fleet.callers(kind == QuotaFaultKind.PAUSE ? one : leader)
                        .setBackendDown(false));
                fleet.processes().resume(who);
            }
            case PARTITION, THREE_SIDES -> {
                List<Set<Integer>> sides = new ArrayList<>();
                int parts = kind == QuotaFaultKind.PARTITION ? 2 : 3;
                for (int part = 0; part < parts; part++) {
                    sides.add(new java.util.HashSet<>());
                }
                fleet.all().forEach(i -> sides.get((i + one) % parts).add(i));
                fleet.on(links -> links.partition(sides));
                Thread.sleep(2 * lease + chance.nextInt(2 * lease));
                fleet.on(LinkFaults::heal);
            }
            case SLOW_LEADER -> {
                fleet.on(links -> fleet.all().stream()
                        .filter(i -> i != leader)
                        .forEach(i -> links.setBothWays(
                                leader,
                                i,
                                LinkFaults.LinkFault.delayed(
                                        Duration.ofMillis(lease / 4), Duration.ofMillis(lease / 2)))));
                Thread.sleep(3L * lease);
                fleet.on(LinkFaults::heal);
            }
            case LOSSY -> {
                fleet.on(links -> fleet.all().forEach(i -> fleet.all().stream()
                        .filter(k -> !k.equals(i))
                        .forEach(k -> links.set(
                                i,
                                k,
                                new LinkFaults.LinkFault(
                                        0.33, 0.33, Duration.ofMillis(5), Duration.ofMillis(100), 0, false)))));
                Thread.sleep(3L * lease);
                fleet.on(LinkFaults::heal);
            }
            case POWER -> {
                for (int i : fleet.all()) {
                    fleet.powerOff(i);
                }
                for (int i : fleet.all()) {
                    fleet.start(i);
                }
            }
            default -> {
                long whole = fleet.stated().budget().whole();
                fleet.whole(whole / 2);
                // Until the larger shares have run out, each may be spent still.
                Thread.sleep(2 * lease + 2500);
                fleet.on(none -> fleet.shares().setQuota(whole / 2));
                Thread.sleep(lease);
                fleet.on(none -> fleet.shares().setQuota(whole));
                fleet.whole(whole);
            }
        }
        Duration divided = divided();
        List<String> breaches = new ArrayList<>();
        fleet.on(none -> {
            List<String> rules = fleet.rules().violations();
            List<String> shares = fleet.shares().violations();
            breaches.addAll(rules.subList(before[0], rules.size()));
            breaches.addAll(shares.subList(before[1], shares.size()));
        });
        if (divided == null) {
            for (int i : fleet.all()) {
                breaches.add("not divided anew after " + patience.toMillis() + " ms: " + fleet.name(i) + " tells "
                        + budget(i));
            }
        }
        QuotaFaultOutcome outcome =
                new QuotaFaultOutcome(kind, seed, divided == null ? Duration.ZERO : divided, breaches);
        log.accept(outcome.told());
        return outcome;
    }
}
