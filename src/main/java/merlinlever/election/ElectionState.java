package merlinlever.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Who leads: one leader at a time, by the promises of more than half of the stated voters. A promise holds for a lease
 * on the voter's own steady clock, so no two leaders can have one at the same time, whatever the Unix clocks say; its term
 * is on the voter's disk before it is given, so terms only go up. A voter that has just started may have promised anything
 * before and waits a whole lease. Times are since the process began.
 */
public final class ElectionState {

    /** A question for a promise, or for its renewal; {@code number} comes back with the answer. */
    public record PromiseRequest(String to, long term, long number) {}

    private final String self;
    private final List<String> voters;
    private final Duration lease;
    private final double drift;
    private final SplittableRandom chance;

    /** As a voter: the highest term that was promised, and to whom until when. */
    private long promised;

    private String promisedTo;
    private Duration promisedUntil;

    /** As a candidate or leader: its term, its questions that are out, and when the promises that it has were asked for. */
    private long term;

    private boolean leads;
    private long numbers;
    private final Map<Long, Duration> out = new HashMap<>();
    private final Map<String, Duration> promisedSince = new HashMap<>();
    private Duration nextAsk;
    private long heardTerm, heardLeaderTerm;
    private String heardLeader;
    private Duration heardAt;

    /**
     * @param voters the same everywhere; only they lead
     * @param term the highest that is on the disk
     */
    public ElectionState(
            Duration now,
            String self,
            List<String> voters,
            Duration lease,
            double drift,
            long term,
            SplittableRandom chance) {
        this.self = self;
        this.voters = List.copyOf(voters);
        this.lease = lease;
        this.drift = drift;
        this.chance = chance;
        promised = term;
        heardTerm = term;
        promisedUntil = now.plus(ClockDrift.slowest(lease, drift));
        nextAsk = promisedUntil.plus(drawn());
    }

    private Duration drawn() {
        return Duration.ofNanos(chance.nextLong(lease.dividedBy(2).toNanos() + 1));
    }

    // ---- as a voter

    /**
     * Whether it may promise the asker this term now; if so the term has to be on the disk before the answer is given
     * ({@link #promise}).
     */
    public boolean mayPromise(Duration now, String asker, long asked) {
        if (!voters.contains(asker) || !voters.contains(self) || asked < promised) {
            return false;
        }
        // The same one may have its promise renewed, or made for its next attempt.
        return asker.equals(promisedTo) || (asked > promised && now.compareTo(promisedUntil) >= 0);
    }

    /** The promise is made, from now on. */
    public void promise(Duration now, String to, long asked) {
        promised = asked;
        promisedTo = to;
        promisedUntil = now.plus(lease);
        heardTerm = Math.max(heardTerm, asked);
        if (!to.equals(self)) {
            nextAsk = promisedUntil.plus(drawn());
        }
    }

    /** The highest term that was promised here. */
    public long promised() {
        return promised;
    }

    // ---- as a candidate or leader

    /** The questions to be put now: for a new term where nobody leads, or for the renewal of its own. */
    public List<PromiseRequest> settle(Duration now) {
        List<PromiseRequest> asks = new ArrayList<>();
        if (leads && now.compareTo(leadsUntil()) >= 0) {
            leads = false;
            nextAsk = now.plus(drawn());
            promisedSince.clear();
            out.clear();
        }
        if (!voters.contains(self) || now.compareTo(nextAsk) < 0) {
            return asks;
        }
        if (!leads) {
            if (now.compareTo(promisedUntil) < 0 && !self.equals(promisedTo)) {
                nextAsk = promisedUntil.plus(drawn());
                return asks;
            }
            // A new attempt is a new term: answers to the one before say nothing of it.
            term = Math.max(Math.max(term, promised), heardTerm) + 1;
            promisedSince.clear();
            out.clear();
        }
        nextAsk = now.plus(leads ? lease.dividedBy(4) : lease.dividedBy(2).plus(drawn()));
        for (String voter : voters) {
            long number = ++numbers;
            out.put(number, now);
            asks.add(new PromiseRequest(voter, term, number));
        }
        out.values().removeIf(at -> now.minus(at).compareTo(lease) >= 0);
        return asks;
    }

    /** The voter has promised; counts from when it was asked, which was before it promised. */
    public void promisedBy(Duration now, String voter, long asked, long number) {
        Duration at = out.get(number);
        if (asked != term || at == null || !voters.contains(voter)) {
            return;
        }
        promisedSince.merge(voter, at, (a, b) -> a.compareTo(b) > 0 ? a : b);
        if (!leads && leadsUntil() != null && now.compareTo(leadsUntil()) < 0) {
            leads = true;
            nextAsk = now;
        }
    }

    /** Whether it leads, or the promises that hold at the least want but one more. */
    boolean oneShort(Duration now) {
        long hold = promisedSince.values().stream()
                .filter(since -> now.compareTo(since.plus(ClockDrift.surest(lease, drift))) < 0)
                .count();
        return leads || hold >= voters.size() / 2;
    }

    /** The voter has promised a higher term to another, or knows of one. */
    public void refused(Duration now, long higher) {
        heardTerm = Math.max(heardTerm, higher);
    }

    /** Until when more than half of the promises hold at the least, by any clock; null without them. */
    private Duration leadsUntil() {
        // Its own promise is needed: so the term is on its own disk, and no later life of it comes to the same term
        // again.
        if (promisedSince.size() <= voters.size() / 2 || !promisedSince.containsKey(self)) {
            return null;
        }
        Duration[] since = promisedSince.values().toArray(new Duration[0]);
        Arrays.sort(since);
        // The oldest of the youngest majority.
        Duration oldest = since[since.length - voters.size() / 2 - 1];
        return oldest.plus(ClockDrift.surest(lease, drift));
    }

    public boolean leads(Duration now) {
        return leads && now.compareTo(leadsUntil()) < 0;
    }

    /** Of its own leadership. */
    public long term() {
        return term;
    }

    /** A leader was heard; the highest term counts, and an older one is not listened to. */
    public void heardLeader(Duration now, String leader, long itsTerm) {
        if (itsTerm >= heardLeaderTerm) {
            heardTerm = Math.max(heardTerm, itsTerm);
            heardLeaderTerm = itsTerm;
            heardLeader = leader;
            heardAt = now;
        }
    }

    /** Who leads as far as this one knows, or null. */
    public Leadership.Leader leader(Duration now) {
        if (leads(now)) {
            return new Leadership.Leader(self, term);
        }
        boolean holds = promisedTo != null && !promisedTo.equals(self) && now.compareTo(promisedUntil) < 0;
        if (heardLeader != null && now.minus(heardAt).compareTo(lease) < 0 && (!holds || heardLeaderTerm >= promised)) {
            return new Leadership.Leader(heardLeader, heardLeaderTerm);
        }
        return holds ? new Leadership.Leader(promisedTo, promised) : null;
    }

    public List<String> voters() {
        return voters;
    }
}
