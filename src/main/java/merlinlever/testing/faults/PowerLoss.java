package merlinlever.testing.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import merlinlever.common.WireNamed;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;
import merlinlever.testing.faults.link.LinkFaults;

/**
 * Power losses of a fleet of backends under load, each of a kind and drawn from a seed; after each one service has to come
 * back, and the audit of the rules runs all the while. State folders are laid as the loss may have left them.
 */
public final class PowerLoss {

    /** What is hard about it. */
    public enum PowerLossKind implements WireNamed {
        /** All down at once, all back at once. */
        ALL("all"),
        /** One after the other; the last to lose its power is the first back. */
        LAST_FIRST("last-first"),
        /** Half of them stay away until the next loss. */
        HALF("half"),
        /** One state folder is torn, or a bit of it has flipped. */
        TORN("torn"),
        /** One state folder is empty. */
        EMPTIED("emptied"),
        /** One state folder is that of another. */
        COPIED("copied"),
        /** All clocks went back across the outage (the times on the disks lie ahead by as much). */
        CLOCK_BACK("clock-back"),
        /** The power is lost again while they come back. */
        TWICE("twice"),
        /** A partition lasts through the restart. */
        PARTITION("partition"),
        /** All but one lose their power, and the links to that one are slow. */
        SLOW_LINK("slow-link");

        private final String wireName;

        PowerLossKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * How one went.
     *
     * @param firstAfter from the loss until each that came back served something again
     * @param fullAfter until each served keyed work too
     */
    public record PowerLossOutcome(
            PowerLossKind kind, long seed, Duration firstAfter, Duration fullAfter, List<String> breaches) {
        public String told() {
            StringBuilder text = new StringBuilder(kind.wireName() + ", seed " + Long.toHexString(seed) + ": "
                    + (breaches.isEmpty()
                            ? "passed, serves after " + firstAfter.toMillis() + " ms, all of it after "
                                    + fullAfter.toMillis() + " ms"
                            : "FAILED"));
            breaches.forEach(breach -> text.append("\n  breach: ").append(breach));
            return text.toString();
        }
    }

    private static final Duration LOOK = Duration.ofMillis(50);

    private final ServeFleet fleet;
    private final Consumer<String> log;
    private final Duration patience;

    /** @param patience for service to be back */
    public PowerLoss(ServeFleet fleet, Duration patience, Consumer<String> log) {
        this.fleet = fleet;
        this.patience = patience;
        this.log = log;
    }

    /** Starts all, and their callers; returns when both kinds of work are served everywhere. */
    public void begin() throws IOException, InterruptedException {
        fleet.startAll();
        Duration[] at = served(fleet.all(), fleet.now(), new ArrayList<>());
        if (at[1] == null) {
            throw new IOException(
                    "the fleet does not serve within " + patience.toMillis() + " ms of its start; see the logs");
        }
    }

    /** Plays one, drawn from the seed; breaches of rules that the audit finds meanwhile are its own. */
    public PowerLossOutcome play(PowerLossKind kind, long seed) throws IOException, InterruptedException {
        SplittableRandom chance = new SplittableRandom(seed);
        List<String> breaches = new ArrayList<>();
        int[] before = new int[1];
        fleet.on(none -> before[0] = fleet.rules().violations().size());
        for (int i : fleet.all()) {
            if (!fleet.runs(i)) {
                fleet.start(i);
            }
        }
        Thread.sleep(300 + chance.nextInt(900));
        List<Integer> order = fleet.all();
        Collections.shuffle(order, new Random(seed));
        if (kind == PowerLossKind.SLOW_LINK) {
            int spared = order.remove(0);
            fleet.on(links -> fleet.all().stream()
                    .filter(i -> i != spared)
                    .forEach(i -> links.setBothWays(
                            spared, i, LinkFaults.LinkFault.delayed(Duration.ofMillis(400), Duration.ofMillis(200)))));
        }
        lose(order, kind == PowerLossKind.LAST_FIRST, chance);
        // From the last that lost its power.
        Duration lost = fleet.now();
        if (kind == PowerLossKind.PARTITION) {
            int half = fleet.count() / 2;
            fleet.on(links -> links.partition(
                    List.of(Set.copyOf(order.subList(0, half)), Set.copyOf(order.subList(half, order.size())))));
        }
        lay(order, kind, chance);
        List<Integer> back =
                new ArrayList<>(kind == PowerLossKind.HALF ? order.subList(0, (order.size() + 1) / 2) : order);
        if (kind == PowerLossKind.LAST_FIRST) {
            Collections.reverse(back);
        }
        start(back, kind == PowerLossKind.LAST_FIRST ? 200 : 0);
        if (kind == PowerLossKind.TWICE) {
            Thread.sleep(200 + chance.nextInt(2500));
            lose(order, false, chance);
            lost = fleet.now();
            lay(order, kind, chance);
            start(back, 0);
        }
        Duration[] at = served(back, lost, breaches);
        fleet.on(LinkFaults::heal);
        List<String> found = new ArrayList<>();
        fleet.on(none -> found.addAll(fleet.rules().violations()));
        breaches.addAll(found.subList(before[0], found.size()));
        PowerLossOutcome outcome = new PowerLossOutcome(
                kind,
                seed,
                at[0] == null ? Duration.ZERO : at[0].minus(lost),
                at[1] == null ? Duration.ZERO : at[1].minus(lost),
                breaches);
        log.accept(outcome.told());
        return outcome;
    }

    /** After the last: no new operations, and those in hand come to their end; what the audit found since is returned. */
    public List<String> end() throws InterruptedException {
        List<String> found = new ArrayList<>();
        fleet.on(none -> fleet.all().forEach(i -> fleet.callers(i).stop()));
        long until = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        int[] open = {1};
        while (open[0] > 0 && System.nanoTime() < until) {
            Thread.sleep(LOOK.toMillis());
            fleet.on(none -> open[0] = fleet.all().stream()
                    .mapToInt(i -> fleet.callers(i).openAttempts())
                    .sum());
        }
        fleet.on(none -> found.addAll(fleet.rules().violations()));
        if (open[0] > 0) {
            found.add(open[0] + " tries did not come to an end");
        }
        return found;
    }

    private void lose(List<Integer> order, boolean oneByOne, SplittableRandom chance) throws InterruptedException {
        for (int i : order) {
            if (fleet.runs(i)) {
                fleet.powerOff(i);
            }
            if (oneByOne) {
                Thread.sleep(50 + chance.nextInt(200));
            }
        }
    }

    private void start(List<Integer> who, long gapMs) throws IOException, InterruptedException {
        for (int i : who) {
            fleet.start(i);
            Thread.sleep(gapMs);
        }
    }

    /** Lays each folder as the loss may have left it, and spoils one as the kind says. */
    private void lay(List<Integer> who, PowerLossKind kind, SplittableRandom chance)
            throws IOException, InterruptedException {
        for (int i : who) {
            if (Files.isDirectory(fleet.records(i))) {
                try (Stream<Path> records = Files.list(fleet.records(i))) {
                    for (Path record : records.sorted().toList()) {
                        FaultHarness.lay(record, chance, log);
                    }
                }
            }
        }
        if (who.isEmpty() || !fleet.stated().recovery()) {
            return;
        }
        Path file = fleet.state(who.get(0)).resolve(RecoveryFile.FILE_NAME);
        if (kind == PowerLossKind.TORN || kind == PowerLossKind.EMPTIED || kind == PowerLossKind.COPIED) {
            fleet.forgot(who.get(0));
        }
        switch (kind) {
            case TORN -> {
                byte[] octets = Files.exists(file) ? Files.readAllBytes(file) : new byte[1];
                if (chance.nextBoolean() || octets.length < 2) {
                    octets = Arrays.copyOf(octets, octets.length / 2);
                } else {
                    octets[chance.nextInt(octets.length)] ^= (byte) (1 << chance.nextInt(7));
                }
                Files.write(file, octets);
            }
            case EMPTIED -> Files.deleteIfExists(file);
            case COPIED -> Files.copy(
                    fleet.state(who.get(1)).resolve(RecoveryFile.FILE_NAME),
                    file,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            case CLOCK_BACK -> {
                for (int i : who) {
                    Path each = fleet.state(i).resolve(RecoveryFile.FILE_NAME);
                    Optional<PersistedState> left = Files.exists(each)
                            ? RecoveryFile.decode(Files.readAllBytes(each)).state()
                            : Optional.empty();
                    if (left.isPresent()) {
                        Files.write(each, RecoveryFile.encode(later(left.get(), 30_000)));
                    }
                }
            }
            default -> {}
        }
    }

    /** As if the state had been written that much later: the clock went back across the outage. */
    private static PersistedState later(PersistedState state, long ms) {
        return new PersistedState(
                state.owner(),
                state.reservedIncarnation(),
                state.highestTerm(),
                state.nonIdempotentUntilUnixMs() + ms,
                state.writtenAtUnixMs() + ms,
                state.learnedCapacity(),
                state.peerAddresses());
    }

    /** When all of them have served something since the moment, and keyed work too; null for what took too long. */
    private Duration[] served(List<Integer> who, Duration since, List<String> breaches) throws InterruptedException {
        Duration[] at = new Duration[2];
        long until = System.nanoTime() + patience.toNanos();
        while (at[1] == null && System.nanoTime() < until) {
            Thread.sleep(LOOK.toMillis());
            for (int kind = 0; kind < 2; kind++) {
                boolean keyedToo = kind == 1;
                boolean[] all = {true};
                fleet.on(none -> who.forEach(i -> all[0] &= fleet.callers(i).servedSince(since, keyedToo)));
                if (at[kind] == null && all[0]) {
                    at[kind] = fleet.now();
                }
            }
        }
        if (at[1] == null) {
            for (int i : who) {
                JsonNode told = fleet.told(i);
                boolean[] served = new boolean[1];
                fleet.on(none -> served[0] = fleet.callers(i).servedSince(since, true));
                if (!served[0]) {
                    breaches.add("service is not back at " + fleet.name(i) + " after " + patience.toMillis()
                            + " ms; it " + (told == null ? "does not answer" : "tells " + told.path("recovery")));
                }
            }
        }
        return at;
    }

    /** By what passed the switch: no life of a backend told others an incarnation that one before it told. */
    public List<String> incarnations() throws InterruptedException {
        List<String> breaches = new ArrayList<>();
        fleet.on(none -> {
            breaches.addAll(fleet.incarnations().violations());
            long[] counts = fleet.incarnations().counts();
            if (counts[1] > 0) {
                breaches.add(counts[1] + " datagrams of backends were not read by the audit");
            }
            if (counts[0] < counts[2] && fleet.stated().recovery()) {
                breaches.add("the audit heard " + counts[0] + " incarnations told in " + counts[2]
                        + " lives, too few to say anything");
            }
        });
        return breaches;
    }
}
