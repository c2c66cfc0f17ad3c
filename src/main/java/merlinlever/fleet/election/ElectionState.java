package merlinlever.fleet.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The rules of leader election: one leader at a time, by the promises of a majority of the configured voters. A promise holds for a
 * lease on the voter's own steady clock, so no two leaders can have one at the same time, whatever the wall clocks say; its term
 * is on the voter's disk before it is given, so terms only go up. A voter that has just started may have promised anything
 * before and waits for a whole lease. Times are since the process began. Not thread-safe.
 */
final class ElectionState {

    /** A request for a promise, or for its renewal; the answer repeats the correlation id. */
    record PromiseRequest(String voter, long term, long correlationId) {}

    /** A leader has its promises renewed this often in the time of a lease. */
    private static final int RENEWALS_PER_LEASE = 4;

    private final String self;
    private final ElectionSettings settings;
    private final SplittableRandom random;

    // As a voter: the highest term that was promised, and to whom until when.
    private long promisedTerm;
    private Optional<String> promisedCandidate = Optional.empty();
    private Duration promisedUntil;

    // As a candidate or leader: its term, its pending requests by correlation id, and by voter when the promise that it
    // holds was requested.
    private long ownTerm;
    private boolean leading;
    private long lastCorrelationId;
    private final Map<Long, Duration> pendingRequests = new HashMap<>();
    private final Map<String, Duration> promiseRequestedAt = new HashMap<>();
    private Duration nextRequestAt;

    // What was heard of others.
    private long highestTermHeard;
    private Optional<Leadership.Leader> lastLeader = Optional.empty();
    private Duration lastLeaderHeardAt = Duration.ZERO;

    /**
     * The state of a voter that starts now.
     *
     * @param persistedTerm the highest term that is on this voter's disk
     */
    ElectionState(Duration now, String self, ElectionSettings settings, long persistedTerm, SplittableRandom random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        promisedTerm = persistedTerm;
        highestTermHeard = persistedTerm;
        promisedUntil = now.plus(ClockDrift.upperBound(settings.lease(), settings.clockDrift()));
        nextRequestAt = promisedUntil.plus(randomDelay());
    }

    /** Up to half a lease, so that candidates seldom meet. */
    private Duration randomDelay() {
        return Duration.ofNanos(random.nextLong(settings.lease().dividedBy(2).toNanos() + 1));
    }

    // ---- as a voter

    /**
     * Whether the candidate may be promised this term now; if so the term has to be on disk before {@link #promise} is called.
     */
    boolean canPromise(Duration now, String candidate, long term) {
        if (!voters().contains(candidate) || !voters().contains(self) || term < promisedTerm) {
            return false;
        }
        // The same candidate may have its promise renewed, or made for its next attempt.
        return isPromisedTo(candidate) || (term > promisedTerm && now.compareTo(promisedUntil) >= 0);
    }

    private boolean isPromisedTo(String candidate) {
        return promisedCandidate.equals(Optional.of(candidate));
    }

    /** Makes the promise, from now on. */
    void promise(Duration now, String candidate, long term) {
        promisedTerm = term;
        promisedCandidate = Optional.of(candidate);
        promisedUntil = now.plus(settings.lease());
        highestTermHeard = Math.max(highestTermHeard, term);
        if (!candidate.equals(self)) {
            nextRequestAt = promisedUntil.plus(randomDelay());
        }
    }

    /** The highest term that was promised here. */
    long promisedTerm() {
        return promisedTerm;
    }

    // ---- as a candidate or leader

    /** The requests to be sent now: for a new term where nobody leads, or to renew the promises of its own. */
    List<PromiseRequest> dueRequests(Duration now) {
        if (leading && !isLeader(now)) {
            leading = false;
            nextRequestAt = now.plus(randomDelay());
            forgetPromises();
        }
        if (!voters().contains(self) || now.compareTo(nextRequestAt) < 0) {
            return List.of();
        }
        if (!leading) {
            boolean promisedToAnother = now.compareTo(promisedUntil) < 0 && !isPromisedTo(self);
            if (promisedToAnother) {
                nextRequestAt = promisedUntil.plus(randomDelay());
                return List.of();
            }
            // A new attempt is a new term: answers to an earlier one say nothing of it.
            ownTerm = Math.max(Math.max(ownTerm, promisedTerm), highestTermHeard) + 1;
            forgetPromises();
        }
        Duration lease = settings.lease();
        nextRequestAt = now.plus(
                leading
                        ? lease.dividedBy(RENEWALS_PER_LEASE)
                        : lease.dividedBy(2).plus(randomDelay()));
        List<PromiseRequest> requests = new ArrayList<>();
        for (String voter : voters()) {
            lastCorrelationId++;
            pendingRequests.put(lastCorrelationId, now);
            requests.add(new PromiseRequest(voter, ownTerm, lastCorrelationId));
        }
        pendingRequests.values().removeIf(sentAt -> now.minus(sentAt).compareTo(lease) >= 0);
        return requests;
    }

    private void forgetPromises() {
        promiseRequestedAt.clear();
        pendingRequests.clear();
    }

    /** A voter has promised; its lease counts from when it was requested, which was before it was given. */
    void receivePromise(Duration now, String voter, long term, long correlationId) {
        Duration requestedAt = pendingRequests.get(correlationId);
        if (term != ownTerm || requestedAt == null || !voters().contains(voter)) {
            return;
        }
        promiseRequestedAt.merge(voter, requestedAt, (first, second) -> first.compareTo(second) > 0 ? first : second);
        if (!leading && holdsMajority(now)) {
            leading = true;
            nextRequestAt = now;
        }
    }

    /** Whether it leads, or one more promise would make the valid ones a majority. */
    boolean isWithinOnePromiseOfMajority(Duration now) {
        long validPromises = promiseRequestedAt.values().stream()
                .filter(requestedAt -> now.compareTo(validUntil(requestedAt)) < 0)
                .count();
        return leading || validPromises >= settings.largestMinority();
    }

    /** Until when a promise that was requested then holds, by any clock. */
    private Duration validUntil(Duration requestedAt) {
        return requestedAt.plus(ClockDrift.lowerBound(settings.lease(), settings.clockDrift()));
    }

    /** A voter has promised a higher term to another candidate, or knows of one. */
    void receiveRejection(long higherTerm) {
        highestTermHeard = Math.max(highestTermHeard, higherTerm);
    }

    /** Until when a majority of the promises holds at least, by any clock; empty without a majority. */
    private Optional<Duration> leadershipExpiry() {
        // Its own promise is required: so the term is on its own disk, and no later incarnation of it comes to the same
        // term again.
        if (promiseRequestedAt.size() <= settings.largestMinority() || !promiseRequestedAt.containsKey(self)) {
            return Optional.empty();
        }
        Duration[] requestedAt = promiseRequestedAt.values().toArray(new Duration[0]);
        Arrays.sort(requestedAt);
        Duration oldestOfYoungestMajority = requestedAt[requestedAt.length - settings.largestMinority() - 1];
        return Optional.of(validUntil(oldestOfYoungestMajority));
    }

    private boolean holdsMajority(Duration now) {
        return leadershipExpiry().filter(expiry -> now.compareTo(expiry) < 0).isPresent();
    }

    boolean isLeader(Duration now) {
        return leading && holdsMajority(now);
    }

    /** The term of its own leadership or last attempt. */
    long ownTerm() {
        return ownTerm;
    }

    // ---- what is known of others

    /** A leader was heard; the highest term counts, and one of an older term is ignored. */
    void observeLeader(Duration now, String leader, long term) {
        long lastLeaderTerm = lastLeader.map(Leadership.Leader::term).orElse(0L);
        if (term >= lastLeaderTerm) {
            highestTermHeard = Math.max(highestTermHeard, term);
            lastLeader = Optional.of(new Leadership.Leader(leader, term));
            lastLeaderHeardAt = now;
        }
    }

    /** Who leads as far as this voter knows. */
    Optional<Leadership.Leader> leader(Duration now) {
        if (isLeader(now)) {
            return Optional.of(new Leadership.Leader(self, ownTerm));
        }
        Optional<Leadership.Leader> promisedTo = promisedCandidate
                .filter(candidate -> !candidate.equals(self) && now.compareTo(promisedUntil) < 0)
                .map(candidate -> new Leadership.Leader(candidate, promisedTerm));
        Optional<Leadership.Leader> heard =
                lastLeader.filter(leader -> now.minus(lastLeaderHeardAt).compareTo(settings.lease()) < 0
                        && (promisedTo.isEmpty() || leader.term() >= promisedTerm));
        return heard.or(() -> promisedTo);
    }

    List<String> voters() {
        return settings.voters();
    }
}
