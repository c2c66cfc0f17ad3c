package merlinlever.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.WireNamed;

/**
 * The order in which a process takes up service again: cold, rejoined (it hears others), reconciled (others have told it
 * what they know), warm. Retriable work is taken from the first; keyed work, which must not run twice, only when the
 * process is reconciled and every repeat of what its life before may have begun has run out of its window. Decides whom to
 * ask when; does neither input nor output. Times are since the process began, but where they are called Unix.
 */
public final class RecoverySequence {

    /** How far it has come; it never goes back. */
    public enum RecoveryStage implements WireNamed {
        COLD("cold"),
        REJOINED("rejoined"),
        RECONCILED("reconciled"),
        WARM("warm");

        private final String wireName;

        RecoveryStage(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * What is stated.
     *
     * @param answerTimeout for answers, after which those that came have to do
     * @param firstQuerySpread the first questions are spread over so long, by chance
     * @param initialRetryDelay after which an unanswered question is put again; doubled each time up to the longest
     * @param idempotencyWindow in which a repeat of keyed work may come
     * @param maxPeersQueried others that are asked, at the most
     */
    public record RecoverySettings(
            Duration answerTimeout,
            Duration firstQuerySpread,
            Duration initialRetryDelay,
            Duration maxRetryDelay,
            Duration idempotencyWindow,
            int maxPeersQueried) {
        public static RecoverySettings defaults(Duration window) {
            return new RecoverySettings(
                    Duration.ofSeconds(3),
                    Duration.ofMillis(500),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(2),
                    window,
                    16);
        }
    }

    /**
     * What another told.
     *
     * @param unixMs its clock when it told
     * @param learnedCapacity that it has learned, 0 for none
     */
    public record PeerReport(long unixMs, RecoveryStage stage, double learnedCapacity) {}

    /** A question to be put now. */
    public record PeerQuery(String peer, long correlationId) {}

    /** Something that came to pass, for the log. */
    public record RecoveryEvent(Duration at, RecoveryStage stage, String description) {}

    /** A repeat may be read so much later than its own time says, and clocks are read one after the other. */
    private static final Duration SLACK = Duration.ofMillis(100);
    /** What a clock may differ from another's, beside the time that question and answer took. */
    private static final Duration SKEW = Duration.ofSeconds(1);
    /** Questions to one other whose answers still count. */
    private static final int OUTSTANDING = 16;
    /** Another life under this one's name counts as there for so long after it was last heard. */
    private static final Duration RIVAL = Duration.ofSeconds(10);

    private static final class Peer {
        final LinkedHashMap<Long, Duration> asked = new LinkedHashMap<>();
        Duration nextAsk;
        Duration pause;
        boolean alive;
        PeerReport told;
        /** What its clock is ahead of this one's at the least and at the most. */
        long aheadLeast, aheadMost;
    }

    private final RecoverySettings stated;
    private final PersistedStateAssessor.TrustedState verdict;
    private final Duration began;
    private final long beganUnix;
    private final SplittableRandom chance;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final List<RecoveryEvent> steps = new ArrayList<>();
    private long numbers;
    private RecoveryStage stage = RecoveryStage.COLD;
    private Duration rivalAt;
    private boolean distrusted, alone;

    /**
     * @param expected whether there are others to be heard of at all
     * @param unixNow the Unix clock at {@code now}
     */
    public RecoverySequence(
            Duration now,
            long unixNow,
            PersistedStateAssessor.TrustedState verdict,
            RecoverySettings stated,
            boolean expected,
            SplittableRandom chance) {
        this.stated = stated;
        this.verdict = verdict;
        this.chance = chance;
        began = now;
        beganUnix = unixNow;
        numbers = chance.nextLong() >>> 16;
        if (!expected) {
            step(now, RecoveryStage.RECONCILED, "no others are stated");
        }
    }

    private void step(Duration now, RecoveryStage to, String why) {
        stage = to;
        steps.add(new RecoveryEvent(now, to, why));
    }

    // ---- what happens

    /** Membership holds the other alive, or not. */
    public void peerStatusChanged(Duration now, String name, boolean alive) {
        Peer peer = peers.get(name);
        if (peer == null) {
            if (!alive || peers.size() >= stated.maxPeersQueried) {
                return;
            }
            peer = new Peer();
            peer.nextAsk = now.plus(drawn(stated.firstQuerySpread));
            peer.pause = stated.initialRetryDelay;
            peers.put(name, peer);
        }
        peer.alive = alive;
    }

    /** An answer to the question of that number; an answer to none that is out changes nothing. */
    public void reportReceived(Duration now, long unixNow, String name, long number, PeerReport told) {
        Peer peer = peers.get(name);
        Duration asked = peer == null ? null : peer.asked.get(number);
        if (asked == null) {
            return;
        }
        peer.asked.clear();
        peer.told = told;
        long took = now.minus(asked).toMillis();
        // It told at some time between the question and now.
        peer.aheadLeast = told.unixMs() - unixNow;
        peer.aheadMost = peer.aheadLeast + took;
    }

    /** Another process tells others that it is this one. */
    public void nameConflictObserved(Duration now) {
        if (rivalAt == null) {
            steps.add(new RecoveryEvent(
                    now, stage, "another process lives under this one's name; keyed work is held until it is silent"));
        }
        rivalAt = now;
    }

    /** The process says that it is at its full speed. */
    public void fullSpeedReached(Duration now) {
        if (stage == RecoveryStage.RECONCILED && nonIdempotentAdmittedFrom(now).compareTo(now) <= 0) {
            step(now, RecoveryStage.WARM, "at full speed, keyed work taken");
        }
    }

    // ---- what is decided

    /** The questions to be put now. */
    public List<PeerQuery> dueQueries(Duration now) {
        List<PeerQuery> asks = new ArrayList<>();
        if (rivalAt != null && now.minus(rivalAt).compareTo(RIVAL) >= 0) {
            rivalAt = null;
            steps.add(new RecoveryEvent(now, stage, "the other process under this one's name is silent"));
        }
        if (stage.compareTo(RecoveryStage.RECONCILED) >= 0) {
            return asks;
        }
        long alive = peers.values().stream().filter(peer -> peer.alive).count();
        if (stage == RecoveryStage.COLD && alive > 0) {
            step(now, RecoveryStage.REJOINED, "hears " + alive + " of the others");
        }
        boolean waited = now.minus(began).compareTo(stated.answerTimeout) >= 0;
        if (alive == 0 && waited && !alone) {
            alone = true;
            steps.add(new RecoveryEvent(
                    now,
                    stage,
                    "no other is reached after " + stated.answerTimeout.toMillis()
                            + " ms; retriable work is served, keyed work is turned away until one is"));
        }
        long told = peers.values().stream().filter(peer -> peer.told != null).count();
        if (stage == RecoveryStage.REJOINED && told > 0 && enough(now, told)) {
            distrusted = clocksDisagree();
            step(
                    now,
                    RecoveryStage.RECONCILED,
                    told + " of " + peers.size() + " others told what they know"
                            + (distrusted
                                    ? "; most of their clocks differ from this one's, the disk's times are not believed"
                                    : ""));
            return asks;
        }
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            if (peer.alive && peer.told == null && now.compareTo(peer.nextAsk) >= 0) {
                long number = ++numbers;
                peer.asked.put(number, now);
                if (peer.asked.size() > OUTSTANDING) {
                    peer.asked.remove(peer.asked.keySet().iterator().next());
                }
                peer.nextAsk = now.plus(peer.pause).plus(drawn(peer.pause.dividedBy(2)));
                peer.pause = peer.pause.multipliedBy(2).compareTo(stated.maxRetryDelay) > 0
                        ? stated.maxRetryDelay
                        : peer.pause.multipliedBy(2);
                asks.add(new PeerQuery(entry.getKey(), number));
            }
        }
        return asks;
    }

    /**
     * One that is held alive is waited for: a slow link is no reason to go on without what only it may know. But where
     * more than half have told, not longer than the patience, as one that died may be held alive for a while.
     */
    private boolean enough(Duration now, long told) {
        Duration waited = now.minus(began);
        boolean all = peers.values().stream().allMatch(peer -> peer.told != null || !peer.alive);
        return (all && waited.compareTo(stated.firstQuerySpread.multipliedBy(2)) >= 0)
                || (told * 2 > peers.size() && waited.compareTo(stated.answerTimeout) >= 0);
    }

    /** Whether more of those that told have another time than the same; with one against one neither is believed. */
    private boolean clocksDisagree() {
        int same = 0;
        int other = 0;
        for (Peer peer : peers.values()) {
            if (peer.told != null) {
                boolean apart = peer.aheadMost < -SKEW.toMillis() || peer.aheadLeast > SKEW.toMillis();
                other += apart ? 1 : 0;
                same += apart ? 0 : 1;
            }
        }
        return other > same;
    }

    public RecoveryStage stage() {
        return stage;
    }

    /**
     * Keyed work that came before then is not begun: the life before may have begun an earlier try of it. Before it is
     * reconciled that is a moment that lies ahead still.
     */
    public Duration nonIdempotentAdmittedFrom(Duration now) {
        if (stage.compareTo(RecoveryStage.RECONCILED) < 0 || rivalAt != null) {
            return now.plus(stated.initialRetryDelay.multipliedBy(5));
        }
        // The life before ended before this one began, whatever the disk and the clock say.
        Duration until = began;
        if (!distrusted && verdict.nonIdempotentUntilUnixMs() != PersistedStateAssessor.UNKNOWN && verdict.nonIdempotentUntilUnixMs() < beganUnix) {
            until = began.minusMillis(beganUnix - verdict.nonIdempotentUntilUnixMs());
        }
        return until.plus(stated.idempotencyWindow).plus(SLACK);
    }

    /** What the hold may take to begin with: what was left, or what the others have learned, in the middle; 0 for none. */
    public double capacityEstimate() {
        if (verdict.capacityEstimate() > 0) {
            return verdict.capacityEstimate();
        }
        List<Double> learned = peers.values().stream()
                .filter(peer -> peer.told != null && peer.told.learnedCapacity() > 0)
                .map(peer -> peer.told.learnedCapacity())
                .sorted()
                .toList();
        return learned.isEmpty() ? 0 : learned.get(learned.size() / 2);
    }

    /** Of that guess, in completions; that of others counts least. */
    public double estimateWeight() {
        return verdict.capacityEstimate() > 0 ? verdict.estimateWeight() : capacityEstimate() > 0 ? 2 : 0;
    }

    private Duration drawn(Duration within) {
        return Duration.ofNanos(chance.nextLong(within.toNanos() + 1));
    }

    /** What came to pass since this was asked last. */
    public List<RecoveryEvent> takeEvents() {
        List<RecoveryEvent> since = List.copyOf(steps);
        steps.clear();
        return since;
    }

    /** Others it knows of, and how many of them have told. */
    public int[] peerCounts() {
        return new int[] {
            peers.size(),
            (int) peers.values().stream().filter(peer -> peer.told != null).count()
        };
    }
}
