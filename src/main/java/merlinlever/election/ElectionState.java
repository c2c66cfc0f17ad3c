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
    public record PromiseRequest(String voter, long term, long correlationId) {}

    private final String self;
    private final List<String> voters;
    private final Duration lease;
    private final double drift;
    private final SplittableRandom random;

    /** As a voter: the highest term that was promised, and to whom until when. */
    private long promisedTerm;

    private String promisedCandidate;
    private Duration promisedUntil;

    /** As a candidate or leader: its term, its questions that are out, and when the promises that it has were asked for. */
    private long ownTerm;

    private boolean leading;
    private long lastCorrelationId;
    private final Map<Long, Duration> pendingRequests = new HashMap<>();
    private final Map<String, Duration> promiseRequestedAt = new HashMap<>();
    private Duration nextRequestAt;
    private long highestTermHeard, lastLeaderTerm;
    private String lastLeader;
    private Duration lastLeaderHeardAt;

    /**
     * @param voters the same everywhere; only they lead
     * @param ownTerm the highest that is on the disk
     */
    public ElectionState(
            Duration now,
            String self,
            List<String> voters,
            Duration lease,
            double drift,
            long ownTerm,
            SplittableRandom random) {
        this.self = self;
        this.voters = List.copyOf(voters);
        this.lease = lease;
        this.drift = drift;
        this.random = random;
        promisedTerm = ownTerm;
        highestTermHeard = ownTerm;
        promisedUntil = now.plus(ClockDrift.upperBound(lease, drift));
        nextRequestAt = promisedUntil.plus(randomDelay());
    }

    private Duration randomDelay() {
        return Duration.ofNanos(random.nextLong(lease.dividedBy(2).toNanos() + 1));
    }

    // ---- as a voter

    /**
     * Whether it may promise the asker this term now; if so the term has to be on the disk before the answer is given
     * ({@link #promise}).
     */
    public boolean canPromise(Duration now, String asker, long asked) {
        if (!voters.contains(asker) || !voters.contains(self) || asked < promisedTerm) {
            return false;
        }
        // The same one may have its promise renewed, or made for its next attempt.
        return asker.equals(promisedCandidate) || asked > promisedTerm && now.compareTo(promisedUntil) >= 0;
    }

    /** The promise is made, from now on. */
    public void promise(Duration now, String to, long asked) {
        promisedTerm = asked;
        promisedCandidate = to;
        promisedUntil = now.plus(lease);
        highestTermHeard = Math.max(highestTermHeard, asked);
        if (!to.equals(self)) {
            nextRequestAt = promisedUntil.plus(randomDelay());
        }
    }

    /** The highest term that was promised here. */
    public long promisedTerm() {
        return promisedTerm;
    }

    // ---- as a candidate or leader

    /** The questions to be put now: for a new term where nobody leads, or for the renewal of its own. */
    public List<PromiseRequest> dueRequests(Duration now) {
        List<PromiseRequest> asks = new ArrayList<>();
        if (leading && now.compareTo(leadershipExpiry()) >= 0) {
            leading = false;
            nextRequestAt = now.plus(randomDelay());
            promiseRequestedAt.clear();
            pendingRequests.clear();
        }
        if (!voters.contains(self) || now.compareTo(nextRequestAt) < 0) {
            return asks;
        }
        if (!leading) {
            if (now.compareTo(promisedUntil) < 0 && !self.equals(promisedCandidate)) {
                nextRequestAt = promisedUntil.plus(randomDelay());
                return asks;
            }
            // A new attempt is a new term: answers to the one before say nothing of it.
            ownTerm = Math.max(Math.max(ownTerm, promisedTerm), highestTermHeard) + 1;
            promiseRequestedAt.clear();
            pendingRequests.clear();
        }
        nextRequestAt = now.plus(leading ? lease.dividedBy(4) : lease.dividedBy(2).plus(randomDelay()));
        for (String voter : voters) {
            long number = ++lastCorrelationId;
            pendingRequests.put(number, now);
            asks.add(new PromiseRequest(voter, ownTerm, number));
        }
        pendingRequests.values().removeIf(at -> now.minus(at).compareTo(lease) >= 0);
        return asks;
    }

    /** The voter has promised; counts from when it was asked, which was before it promised. */
    public void receivePromise(Duration now, String voter, long asked, long number) {
        Duration at = pendingRequests.get(number);
        if (asked != ownTerm || at == null || !voters.contains(voter)) {
            return;
        }
        promiseRequestedAt.merge(voter, at, (a, b) -> a.compareTo(b) > 0 ? a : b);
        if (!leading && leadershipExpiry() != null && now.compareTo(leadershipExpiry()) < 0) {
            leading = true;
            nextRequestAt = now;
        }
    }

    /** Whether it leads, or the promises that hold at the least want but one more. */
    boolean isWithinOnePromiseOfMajority(Duration now) {
        long hold = promiseRequestedAt.values().stream()
                .filter(since -> now.compareTo(since.plus(ClockDrift.lowerBound(lease, drift))) < 0)
                .count();
        return leading || hold >= voters.size() / 2;
    }

    /** The voter has promised a higher term to another, or knows of one. */
    public void receiveRejection(Duration now, long higher) {
        highestTermHeard = Math.max(highestTermHeard, higher);
    }

    /** Until when more than half of the promises hold at the least, by any clock; null without them. */
    private Duration leadershipExpiry() {
        // Its own promise is needed: so the term is on its own disk, and no later life of it comes to the same term
        // again.
        if (promiseRequestedAt.size() <= voters.size() / 2 || !promiseRequestedAt.containsKey(self)) {
            return null;
        }
        Duration[] since = promiseRequestedAt.values().toArray(new Duration[0]);
        Arrays.sort(since);
        // The oldest of the youngest majority.
        Duration oldest = since[since.length - voters.size() / 2 - 1];
        return oldest.plus(ClockDrift.lowerBound(lease, drift));
    }

    public boolean isLeader(Duration now) {
        return leading && now.compareTo(leadershipExpiry()) < 0;
    }

    /** Of its own leadership. */
    public long ownTerm() {
        return ownTerm;
    }

    /** A leader was heard; the highest term counts, and an older one is not listened to. */
    public void observeLeader(Duration now, String leader, long itsTerm) {
        if (itsTerm >= lastLeaderTerm) {
            highestTermHeard = Math.max(highestTermHeard, itsTerm);
            lastLeaderTerm = itsTerm;
            lastLeader = leader;
            lastLeaderHeardAt = now;
        }
    }

    /** Who leads as far as this one knows, or null. */
    public Leadership.Leader leader(Duration now) {
        if (isLeader(now)) {
            return new Leadership.Leader(self, ownTerm);
        }
        boolean holds = promisedCandidate != null && !promisedCandidate.equals(self) && now.compareTo(promisedUntil) < 0;
        if (lastLeader != null && now.minus(lastLeaderHeardAt).compareTo(lease) < 0 && (!holds || lastLeaderTerm >= promisedTerm)) {
            return new Leadership.Leader(lastLeader, lastLeaderTerm);
        }
        return holds ? new Leadership.Leader(promisedCandidate, promisedTerm) : null;
    }

    public List<String> voters() {
        return voters;
    }
}
