package merlinlever.zone.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;
import merlinlever.zone.state.Entry;
import merlinlever.zone.state.Serial;
import merlinlever.zone.state.Update;

/**
 * Decides which records a name has, when they are changed, and when not (docs/dns/design.md). One step is in hand at a
 * time: what {@link #settle} returns is a handle that hears how the step ended.
 */
public final class Follower {

    /**
     * What is stated at the start.
     *
     * @param name the name that follows, in lower case
     * @param instances the record of each instance, in the order of their indices
     * @param ttl seconds
     * @param lapse an instance is gone so long after its last report
     * @param keepAtLeast with a smaller share of the instances alive the last answer stays, 0 to 1
     * @param owner of the records; followers that share a name share it
     * @param holder this follower's own name among them
     * @param updatesAMinute at the most, beats included
     * @param damp the time in which what is held against a flapping instance halves
     * @param beat between two signs of life of the one that writes; others wait three of them
     * @param servers how many there are, in the order in which they are tried
     */
    public record Stated(
            byte[] name,
            List<Rec> instances,
            long ttl,
            Duration lapse,
            double keepAtLeast,
            String owner,
            String holder,
            int updatesAMinute,
            Duration damp,
            Duration beat,
            int servers) {}

    /** A step that was decided; exactly one of its ends is to be told. */
    public abstract class Step {
        private final int server;
        private boolean over;

        private Step(int server) {
            this.server = server;
        }

        /** Which server to ask, by its place in the list. */
        public int server() {
            return server;
        }

        boolean ends() {
            boolean first = !over;
            over = true;
            inHand = null;
            return first;
        }

        /** Nothing of it reached the server. */
        public void unreachable(Duration now) {
            if (ends()) {
                failed(now, "cannot be reached", true);
            }
        }

        /** It may or may not have been done. */
        public void lost(Duration now) {
            if (ends()) {
                known = null;
                failed(now, "gives no answer", true);
            }
        }
    }

    /** What the server says of the name is wanted: records of the given types there, and the claim beside it. */
    public final class Read extends Step {
        private Read(int server) {
            super(server);
        }

        public void answered(Duration now, Seen seen) {
            if (ends()) {
                seen(now, seen);
            }
        }

        public void refused(Duration now, int code) {
            if (ends()) {
                failed(now, "answers " + code(code), true);
            }
        }
    }

    /** An update is to be sent, all of it in one message. */
    public final class Write extends Step {
        private final List<Entry> prerequisites;
        private final List<Entry> changes;
        private final Claim claim;
        private final List<Rec> records;

        private Write(int server, List<Entry> prerequisites, List<Entry> changes, Claim claim, List<Rec> records) {
            super(server);
            this.prerequisites = prerequisites;
            this.changes = changes;
            this.claim = claim;
            this.records = records;
        }

        public List<Entry> prerequisites() {
            return prerequisites;
        }

        public List<Entry> changes() {
            return changes;
        }

        public void answered(Duration now, int code) {
            if (ends()) {
                written(now, this, code);
            }
        }
    }

    /** What changes within this is one update. */
    private static final Duration GATHER = Duration.ofMillis(100);

    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);
    private static final int BEATS_TO_WAIT = 3;
    private static final int[] OWNED = {Types.A, Types.AAAA, Types.SRV};
    private static final byte[] LABEL = {'_', 'm', 'e', 'r', 'l', 'i', 'n', 'l', 'e', 'v', 'e', 'r'};

    private final Stated stated;
    private final byte[] claimName;
    private final Fleet fleet;
    private final SplittableRandom chance;
    private final Consumer<String> log;
    private Step inHand;
    private int server;
    private Duration nextAt, readAgainAt = Duration.ZERO;
    private int failures;
    private String lastFailure = "";
    /** The last that is known for certain to stand on the server, or null. */
    private Seen known;

    private long lastSerial = -1;
    /** Of another holder: its claim as it was last seen, and since when. */
    private Claim watched;

    private Duration watchedSince;
    /** The term that this one holds, or -1. */
    private long myTerm = -1;

    private Duration beatAt = Duration.ZERO;
    private Duration differsSince;
    private double tokens;
    private Duration tokensAt = Duration.ZERO;
    private String mode = "";

    public Follower(Duration now, Stated stated, SplittableRandom chance, Consumer<String> log) {
        this.stated = stated;
        this.chance = chance;
        this.log = log;
        claimName = Names.below(LABEL, stated.name);
        if (claimName == null) {
            throw new IllegalArgumentException("the name is too long to stand below _merlinlever");
        }
        fleet = new Fleet(stated.instances.size(), stated.lapse, stated.damp);
        // One that starts has heard of nobody yet: until all had the time to report, none is gone.
        nextAt = now.plus(stated.lapse);
        tokens = burst();
        tokensAt = now;
    }

    /** Where the claim stands. */
    public byte[] claimName() {
        return claimName;
    }

    /** The types at the name that are read and, where the claim is ours, kept. */
    public static int[] owned() {
        return OWNED.clone();
    }

    /** An instance reported. */
    public void heard(Duration now, int instance, boolean open) {
        fleet.heard(now, instance, open);
    }

    /** The next step, or null for none now. */
    public Step settle(Duration now) {
        fleet.look(now);
        if (inHand != null || now.compareTo(nextAt) < 0) {
            return null;
        }
        if (known == null || now.compareTo(readAgainAt) >= 0) {
            inHand = new Read(server);
        } else {
            inHand = write(now);
        }
        return inHand;
    }

    /** When settling may bring something new even if nothing happens; at the latest. */
    public Duration nextLook(Duration now) {
        Duration next = now.plus(GATHER);
        return next.compareTo(nextAt) < 0 ? nextAt : next;
    }

    // ---- how steps ended

    private static String code(int code) {
        return org.xbill.DNS.Rcode.string(code);
    }

    private void failed(Duration now, String how, boolean nextServer) {
        if (!how.equals(lastFailure)) {
            lastFailure = how;
            log.accept("server " + server + " " + how);
        }
        if (nextServer) {
            server = (server + 1) % stated.servers;
        }
        // All servers are tried once before a pause grows.
        int round = failures++ / stated.servers;
        double pause = Math.min(LONGEST_PAUSE.toNanos(), FIRST_PAUSE.toNanos() * Math.pow(2, Math.min(round, 20)));
        nextAt = now.plusNanos((long) (pause * (0.5 + chance.nextDouble() / 2)));
    }

    private void well() {
        if (failures > 0) {
            log.accept("server " + server + " answers again");
        }
        failures = 0;
        lastFailure = "";
    }

    private void seen(Duration now, Seen seen) {
        well();
        if (lastSerial >= 0 && Serial.after(lastSerial, seen.serial())) {
            log.accept("server " + server + " went back from serial " + lastSerial + " to " + seen.serial()
                    + "; going on from what it says");
        }
        lastSerial = seen.serial();
        known = seen;
        // Not all read at the same moment, or they would also write at the same one.
        readAgainAt = now.plusNanos((long) (stated.beat.toNanos() * (0.7 + 0.3 * chance.nextDouble())));
        Claim claim = claim(seen);
        if (claim == null || !claim.equals(watched)) {
            watched = claim;
            watchedSince = now;
        }
    }

    private void written(Duration now, Write write, int code) {
        switch (code) {
            case Update.NOERROR -> {
                well();
                known = new Seen(
                        lastSerial,
                        List.of(new Rec(claimName, Types.TXT, stated.ttl, write.claim.data())),
                        write.records);
                myTerm = write.claim.term();
                watched = write.claim;
                watchedSince = now;
                beatAt = now.plus(stated.beat);
                differsSince = null;
            }
                // Somebody else has written since it was read: read again, and not in step with whoever it was.
            case Update.NXDOMAIN, Update.YXDOMAIN, Update.NXRRSET, Update.YXRRSET -> {
                known = null;
                nextAt = now.plusNanos((long) (FIRST_PAUSE.toNanos() * chance.nextDouble()));
            }
            case Update.SERVFAIL -> {
                known = null;
                failed(now, "answers SERVFAIL", true);
            }
            default -> failed(now, "answers " + code(code), true);
        }
    }

    // ---- whose the name is

    private static Claim claim(Seen seen) {
        return seen.claims().size() == 1 ? Claim.read(seen.claims().get(0).data()) : null;
    }

    /** One line for each change of mode, with the figures of that moment. */
    private void mode(String to, Supplier<String> line) {
        if (!to.equals(mode)) {
            mode = to;
            log.accept(line.get());
        }
    }

    /** What is to be written now, or null. */
    private Write write(Duration now) {
        Claim claim = claim(known);
        Claim mine;
        if (known.claims().isEmpty()) {
            if (!known.records().isEmpty()) {
                mode(
                        "foreign",
                        () -> Names.text(stated.name)
                                + " has records that are not ours: they are left alone; delete them, or choose another name");
                return null;
            }
            mine = new Claim(stated.owner, stated.holder, 1, 1);
        } else if (claim == null || !claim.owner().equals(stated.owner)) {
            mode(
                    "foreign",
                    () -> Names.text(stated.name) + " belongs to " + (claim == null ? "somebody else" : claim.owner())
                            + ": it is left alone");
            return null;
        } else if (claim.holder().equals(stated.holder) && (myTerm < 0 || claim.term() <= myTerm)) {
            // Ours: from this life, or from the one before, whose name we bear.
            mine = myTerm < 0
                    ? new Claim(stated.owner, stated.holder, claim.term() + 1, 1)
                    : new Claim(stated.owner, stated.holder, myTerm, Math.max(claim.beat(), 0) + 1);
        } else {
            Duration silent = now.minus(watchedSince);
            if (silent.compareTo(stated.beat.multipliedBy(BEATS_TO_WAIT)) < 0) {
                mode(
                        "by " + claim.holder(),
                        () -> claim.holder() + " keeps " + Names.text(stated.name) + "; this one stands by");
                return null;
            }
            mine = new Claim(stated.owner, stated.holder, Math.max(claim.term(), myTerm) + 1, 1);
        }
        boolean taking = claim == null || myTerm < 0 || mine.term() != myTerm;
        List<Rec> wanted = wanted(now);
        if (wanted == null) {
            if (taking && claim == null) {
                return null;
            }
            wanted = known.records();
        }
        boolean differs = !same(wanted, known.records());
        differsSince = !differs ? null : differsSince == null ? now : differsSince;
        boolean gathered = differs && now.minus(differsSince).compareTo(GATHER) >= 0;
        if (!gathered && !taking && now.compareTo(beatAt) < 0 || !token(now)) {
            return null;
        }
        if (taking && claim != null) {
            log.accept(stated.holder + " keeps " + Names.text(stated.name) + " from here on, term " + mine.term());
        }
        return new Write(server, prerequisites(claim), changes(mine, wanted), mine, wanted);
    }

    private List<Entry> prerequisites(Claim claim) {
        List<Entry> prerequisites = new ArrayList<>();
        if (claim != null) {
            prerequisites.add(new Entry(claimName, Types.TXT, Types.IN, 0, claim.data()));
            return prerequisites;
        }
        prerequisites.add(new Entry(claimName, Types.ANY, Types.CLASS_NONE, 0, null));
        for (int type : OWNED) {
            prerequisites.add(new Entry(stated.name, type, Types.CLASS_NONE, 0, null));
        }
        return prerequisites;
    }

    /**
     * The whole of the owned sets anew, in one update. Taking out and putting in only what differs from what was read
     * emptied a name once in 15,000 tries: claim and records are read by two questions, and a server that goes back between
     * them may show a claim that fits again beside other records.
     */
    private List<Entry> changes(Claim mine, List<Rec> wanted) {
        List<Entry> changes = new ArrayList<>();
        if (!same(wanted, known.records())) {
            for (int type : OWNED) {
                changes.add(new Entry(stated.name, type, Types.CLASS_ANY, 0, null));
            }
            for (Rec rec : sorted(wanted)) {
                changes.add(new Entry(rec.owner(), rec.type(), Types.IN, rec.ttl(), rec.data()));
            }
        }
        changes.add(new Entry(claimName, Types.TXT, Types.CLASS_ANY, 0, null));
        changes.add(new Entry(claimName, Types.TXT, Types.IN, stated.ttl, mine.data()));
        return changes;
    }

    /** What the largest update would hold; it has to fit one message. */
    public List<Entry> largest() {
        Claim longest = new Claim(stated.owner, stated.holder, 999_999_999_999_999L, 999_999_999_999_999L);
        List<Entry> all = prerequisites(longest);
        stated.instances.forEach(rec -> all.add(new Entry(rec.owner(), rec.type(), Types.IN, rec.ttl(), rec.data())));
        all.add(new Entry(claimName, Types.TXT, Types.IN, stated.ttl, longest.data()));
        return all;
    }

    private static TreeSet<Rec> sorted(List<Rec> records) {
        TreeSet<Rec> sorted = new TreeSet<>((a, b) -> {
            int order = Integer.compare(a.type(), b.type());
            order = order != 0 ? order : Arrays.compareUnsigned(a.data(), b.data());
            return order != 0 ? order : Long.compare(a.ttl(), b.ttl());
        });
        sorted.addAll(records);
        return sorted;
    }

    private static boolean same(List<Rec> a, List<Rec> b) {
        // Mostly it is the very list that was written last.
        return a.equals(b) || sorted(a).equals(sorted(b));
    }

    // ---- which records

    /** The records of the live fleet, or null where the last answer stays. */
    private List<Rec> wanted(Duration now) {
        List<Integer> all = fleet.alive(true);
        if (all.isEmpty() || all.size() < stated.keepAtLeast * fleet.size()) {
            mode(
                    "keeping",
                    () -> String.format(
                            Locale.ROOT,
                            "only %d of %d instances alive: the last answer stays",
                            all.size(),
                            fleet.size()));
            return null;
        }
        List<Integer> steady = fleet.alive(false);
        boolean enough = !steady.isEmpty() && steady.size() >= stated.keepAtLeast * fleet.size();
        List<Integer> chosen = enough ? steady : all;
        mode(
                chosen.size() < all.size() ? "damping" : "following",
                () -> String.format(
                        Locale.ROOT,
                        "%d of %d instances alive%s",
                        all.size(),
                        fleet.size(),
                        chosen.size() < all.size()
                                ? ", " + (all.size() - chosen.size()) + " of them kept away for coming and going"
                                : ""));
        return chosen.stream().map(stated.instances::get).toList();
    }

    // ---- how often

    private double burst() {
        return Math.max(1, stated.updatesAMinute / 6.0);
    }

    private boolean token(Duration now) {
        tokens = Math.min(burst(), tokens + now.minus(tokensAt).toNanos() / 60e9 * stated.updatesAMinute);
        tokensAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
