package merlinlever.dns.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Supplier;
import merlinlever.common.log.EventLog;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.SerialNumbers;
import merlinlever.dns.state.UpdateEntry;

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
    public record FollowerSettings(
            byte[] name,
            List<ResourceRecord> instances,
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
    public final class ReadStep extends Step {
        private ReadStep(int server) {
            super(server);
        }

        public void answered(Duration now, ObservedRecords seen) {
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
    public final class WriteStep extends Step {
        private final List<UpdateEntry> prerequisites;
        private final List<UpdateEntry> changes;
        private final OwnershipClaim claim;
        private final List<ResourceRecord> records;

        private WriteStep(
                int server,
                List<UpdateEntry> prerequisites,
                List<UpdateEntry> changes,
                OwnershipClaim claim,
                List<ResourceRecord> records) {
            super(server);
            this.prerequisites = prerequisites;
            this.changes = changes;
            this.claim = claim;
            this.records = records;
        }

        public List<UpdateEntry> prerequisites() {
            return prerequisites;
        }

        public List<UpdateEntry> changes() {
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
    private static final int[] OWNED = {RecordTypes.A, RecordTypes.AAAA, RecordTypes.SRV};
    private static final byte[] LABEL = {'_', 'm', 'e', 'r', 'l', 'i', 'n', 'l', 'e', 'v', 'e', 'r'};

    private final FollowerSettings stated;
    private final byte[] claimName;
    private final InstanceTracker fleet;
    private final SplittableRandom chance;
    private final EventLog log;
    private Step inHand;
    private int server;
    private Duration nextAt, readAgainAt = Duration.ZERO;
    private int failures;
    private String lastFailure = "";
    /** The last that is known for certain to stand on the server, or null. */
    private ObservedRecords known;

    private long lastSerial = -1;
    /** Of another holder: its claim as it was last seen, and since when. */
    private OwnershipClaim watched;

    private Duration watchedSince;
    /** The term that this one holds, or -1. */
    private long myTerm = -1;

    private Duration beatAt = Duration.ZERO;
    private Duration differsSince;
    private double tokens;
    private Duration tokensAt = Duration.ZERO;
    private String mode = "";

    public Follower(Duration now, FollowerSettings stated, SplittableRandom chance, EventLog log) {
        this.stated = stated;
        this.chance = chance;
        this.log = log;
        claimName = DomainNames.prependLabel(LABEL, stated.name);
        if (claimName == null) {
            throw new IllegalArgumentException("the name is too long to stand below _merlinlever");
        }
        fleet = new InstanceTracker(stated.instances.size(), stated.lapse, stated.damp);
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
        fleet.reported(now, instance, open);
    }

    /** The next step, or null for none now. */
    public Step settle(Duration now) {
        fleet.update(now);
        if (inHand != null || now.compareTo(nextAt) < 0) {
            return null;
        }
        if (known == null || now.compareTo(readAgainAt) >= 0) {
            inHand = new ReadStep(server);
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
            log.info("server " + server + " " + how);
        }
        if (nextServer) {
            server = (server + 1) % stated.servers;
        }
        // All servers are tried once before a pause grows.
        int round = failures++ / stated.servers;
        double pause =
                Math.min((double) LONGEST_PAUSE.toNanos(), FIRST_PAUSE.toNanos() * Math.pow(2, Math.min(round, 20)));
        nextAt = now.plusNanos((long) (pause * (0.5 + chance.nextDouble() / 2)));
    }

    private void well() {
        if (failures > 0) {
            log.info("server " + server + " answers again");
        }
        failures = 0;
        lastFailure = "";
    }

    private void seen(Duration now, ObservedRecords seen) {
        well();
        if (lastSerial >= 0 && SerialNumbers.after(lastSerial, seen.serial())) {
            log.info("server " + server + " went back from serial " + lastSerial + " to " + seen.serial()
                    + "; going on from what it says");
        }
        lastSerial = seen.serial();
        known = seen;
        // Not all read at the same moment, or they would also write at the same one.
        readAgainAt = now.plusNanos((long) (stated.beat.toNanos() * (0.7 + 0.3 * chance.nextDouble())));
        OwnershipClaim claim = claim(seen);
        if (claim == null || !claim.equals(watched)) {
            watched = claim;
            watchedSince = now;
        }
    }

    private void written(Duration now, WriteStep write, int code) {
        switch (code) {
            case DynamicUpdate.NOERROR -> {
                well();
                known = new ObservedRecords(
                        lastSerial,
                        List.of(new ResourceRecord(claimName, RecordTypes.TXT, stated.ttl, write.claim.data())),
                        write.records);
                myTerm = write.claim.term();
                watched = write.claim;
                watchedSince = now;
                beatAt = now.plus(stated.beat);
                differsSince = null;
            }
                // Somebody else has written since it was read: read again, and not in step with whoever it was.
            case DynamicUpdate.NXDOMAIN, DynamicUpdate.YXDOMAIN, DynamicUpdate.NXRRSET, DynamicUpdate.YXRRSET -> {
                known = null;
                nextAt = now.plusNanos((long) (FIRST_PAUSE.toNanos() * chance.nextDouble()));
            }
            case DynamicUpdate.SERVFAIL -> {
                known = null;
                failed(now, "answers SERVFAIL", true);
            }
            default -> failed(now, "answers " + code(code), true);
        }
    }

    // ---- whose the name is

    private static OwnershipClaim claim(ObservedRecords seen) {
        return seen.claims().size() == 1
                ? OwnershipClaim.read(seen.claims().get(0).data())
                : null;
    }

    /** One line for each change of mode, with the figures of that moment. */
    private void mode(String to, Supplier<String> line) {
        if (!to.equals(mode)) {
            mode = to;
            log.info(line.get());
        }
    }

    /** What is to be written now, or null. */
    private WriteStep write(Duration now) {
        OwnershipClaim claim = claim(known);
        OwnershipClaim mine;
        if (known.claims().isEmpty()) {
            if (!known.records().isEmpty()) {
                mode(
                        "foreign",
                        () -> DomainNames.text(stated.name)
                                + " has records that are not ours: they are left alone; delete them, or choose another name");
                return null;
            }
            mine = new OwnershipClaim(stated.owner, stated.holder, 1, 1);
        } else if (claim == null || !claim.owner().equals(stated.owner)) {
            mode(
                    "foreign",
                    () -> DomainNames.text(stated.name) + " belongs to "
                            + (claim == null ? "somebody else" : claim.owner()) + ": it is left alone");
            return null;
        } else if (claim.holder().equals(stated.holder) && (myTerm < 0 || claim.term() <= myTerm)) {
            // Ours: from this life, or from the one before, whose name we bear.
            mine = myTerm < 0
                    ? new OwnershipClaim(stated.owner, stated.holder, claim.term() + 1, 1)
                    : new OwnershipClaim(stated.owner, stated.holder, myTerm, Math.max(claim.beat(), 0) + 1);
        } else {
            Duration silent = now.minus(watchedSince);
            if (silent.compareTo(stated.beat.multipliedBy(BEATS_TO_WAIT)) < 0) {
                mode(
                        "by " + claim.holder(),
                        () -> claim.holder() + " keeps " + DomainNames.text(stated.name) + "; this one stands by");
                return null;
            }
            mine = new OwnershipClaim(stated.owner, stated.holder, Math.max(claim.term(), myTerm) + 1, 1);
        }
        boolean taking = claim == null || myTerm < 0 || mine.term() != myTerm;
        List<ResourceRecord> wanted = wanted();
        if (wanted == null) {
            if (taking && claim == null) {
                return null;
            }
            wanted = known.records();
        }
        boolean differs = !same(wanted, known.records());
        differsSince = !differs ? null : differsSince == null ? now : differsSince;
        boolean gathered = differs && now.minus(differsSince).compareTo(GATHER) >= 0;
        if ((!gathered && !taking && now.compareTo(beatAt) < 0) || !token(now)) {
            return null;
        }
        if (taking && claim != null) {
            log.info(stated.holder + " keeps " + DomainNames.text(stated.name) + " from here on, term " + mine.term());
        }
        return new WriteStep(server, prerequisites(claim), changes(mine, wanted), mine, wanted);
    }

    private List<UpdateEntry> prerequisites(OwnershipClaim claim) {
        List<UpdateEntry> prerequisites = new ArrayList<>();
        if (claim != null) {
            prerequisites.add(new UpdateEntry(claimName, RecordTypes.TXT, RecordTypes.IN, 0, claim.data()));
            return prerequisites;
        }
        prerequisites.add(new UpdateEntry(claimName, RecordTypes.ANY, RecordTypes.CLASS_NONE, 0, null));
        for (int type : OWNED) {
            prerequisites.add(new UpdateEntry(stated.name, type, RecordTypes.CLASS_NONE, 0, null));
        }
        return prerequisites;
    }

    /**
     * The whole of the owned sets anew, in one update. Taking out and putting in only what differs from what was read
     * emptied a name once in 15,000 tries: claim and records are read by two questions, and a server that goes back between
     * them may show a claim that fits again beside other records.
     */
    private List<UpdateEntry> changes(OwnershipClaim mine, List<ResourceRecord> wanted) {
        List<UpdateEntry> changes = new ArrayList<>();
        if (!same(wanted, known.records())) {
            for (int type : OWNED) {
                changes.add(new UpdateEntry(stated.name, type, RecordTypes.CLASS_ANY, 0, null));
            }
            for (ResourceRecord rec : sorted(wanted)) {
                changes.add(new UpdateEntry(rec.owner(), rec.type(), RecordTypes.IN, rec.ttl(), rec.data()));
            }
        }
        changes.add(new UpdateEntry(claimName, RecordTypes.TXT, RecordTypes.CLASS_ANY, 0, null));
        changes.add(new UpdateEntry(claimName, RecordTypes.TXT, RecordTypes.IN, stated.ttl, mine.data()));
        return changes;
    }

    /** What the largest update would hold; it has to fit one message. */
    public List<UpdateEntry> largest() {
        OwnershipClaim longest =
                new OwnershipClaim(stated.owner, stated.holder, 999_999_999_999_999L, 999_999_999_999_999L);
        List<UpdateEntry> all = prerequisites(longest);
        stated.instances.forEach(
                rec -> all.add(new UpdateEntry(rec.owner(), rec.type(), RecordTypes.IN, rec.ttl(), rec.data())));
        all.add(new UpdateEntry(claimName, RecordTypes.TXT, RecordTypes.IN, stated.ttl, longest.data()));
        return all;
    }

    private static TreeSet<ResourceRecord> sorted(List<ResourceRecord> records) {
        TreeSet<ResourceRecord> sorted = new TreeSet<>((a, b) -> {
            int order = Integer.compare(a.type(), b.type());
            order = order != 0 ? order : Arrays.compareUnsigned(a.data(), b.data());
            return order != 0 ? order : Long.compare(a.ttl(), b.ttl());
        });
        sorted.addAll(records);
        return sorted;
    }

    private static boolean same(List<ResourceRecord> a, List<ResourceRecord> b) {
        // Mostly it is the very list that was written last.
        return a.equals(b) || sorted(a).equals(sorted(b));
    }

    // ---- which records

    /** The records of the live fleet, or null where the last answer stays. */
    private List<ResourceRecord> wanted() {
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
