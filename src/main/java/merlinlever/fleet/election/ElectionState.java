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
 * State machine of leader election. A candidate becomes leader with promises from a majority of the configured voters.
 * A voter promises to one candidate at a time, for one lease on the voter's monotonic clock, so at most one leader
 * exists at any time, independent of the wall clocks. A voter persists the term before giving the promise, so terms
 * only increase. After a restart a voter first waits for one lease, because a promise from before the restart may still
 * be valid. Times are measured from the start of the process. Not thread-safe.
 */
final class ElectionState {

    /** A request for a promise or for the renewal of a promise; the reply carries the same correlation id. */
    record PromiseRequest(String voter, long term, long correlationId) {}

    /** Number of times that a leader renews its promises per lease. */
    private static final int RENEWALS_PER_LEASE = 4;

    private final String self;
    private final ElectionSettings settings;
    private final SplittableRandom random;

    // Voter state: the highest promised term, the candidate that holds the promise, and its expiry.
    private long promisedTerm;
    private Optional<String> promisedCandidate = Optional.empty();
    private Duration promisedUntil;

    // Candidate and leader state: the term, the send times of pending requests by correlation id, and the request times
    // of received promises by voter.
    private long ownTerm;
    private boolean leading;
    private long lastCorrelationId;
    private final Map<Long, Duration> pendingRequests = new HashMap<>();
    private final Map<String, Duration> promiseRequestedAt = new HashMap<>();
    private Duration nextRequestAt;

    // Information received from other voters.
    private long highestTermSeen;
    private Optional<Leadership.Leader> lastLeader = Optional.empty();
    private Duration lastLeaderSeenAt = Duration.ZERO;

    /**
     * Creates the state of a voter that starts now.
     *
     * @param persistedTerm the highest term that this voter has persisted
     */
    ElectionState(Duration now, String self, ElectionSettings settings, long persistedTerm, SplittableRandom random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        promisedTerm = persistedTerm;
        highestTermSeen = persistedTerm;
        promisedUntil = now.plus(ClockDrift.upperBound(settings.lease(), settings.clockDrift()));
        nextRequestAt = promisedUntil.plus(randomDelay());
    }

    /** Returns a random delay of up to half a lease, which makes concurrent candidacies rare. */
    private Duration randomDelay() {
        return Duration.ofNanos(random.nextLong(settings.lease().dividedBy(2).toNanos() + 1));
    }

    // ---- voter

    /**
     * Returns whether this voter may promise the term to the candidate now. The caller has to persist the term before
     * calling {@link #promise}.
     */
    boolean canPromise(Duration now, String candidate, long term) {
        if (!voters().contains(candidate) || !voters().contains(self) || term < promisedTerm) {
            return false;
        }
        // The candidate that holds the promise may renew the promise or request a promise of a higher term at any time.
        return isPromisedTo(candidate) || (term > promisedTerm && now.compareTo(promisedUntil) >= 0);
    }

    private boolean isPromisedTo(String candidate) {
        return promisedCandidate.equals(Optional.of(candidate));
    }

    /** Records a promise to the candidate that is valid for one lease from now. */
    void promise(Duration now, String candidate, long term) {
        promisedTerm = term;
        promisedCandidate = Optional.of(candidate);
        promisedUntil = now.plus(settings.lease());
        highestTermSeen = Math.max(highestTermSeen, term);
        if (!candidate.equals(self)) {
            nextRequestAt = promisedUntil.plus(randomDelay());
        }
    }

    /** Returns the highest term that this voter has promised. */
    long promisedTerm() {
        return promisedTerm;
    }

    // ---- candidate and leader

    /**
     * Returns the requests that are due now: a leader's renewals of its promises, or a candidate's vote requests for a
     * new term.
     */
    List<PromiseRequest> dueRequests(Duration now) {
        if (leading && !isLeader(now)) {
            leading = false;
            nextRequestAt = now.plus(randomDelay());
            clearPromises();
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
            // Each candidacy uses a new term, so late replies to an earlier candidacy are not counted.
            ownTerm = Math.max(Math.max(ownTerm, promisedTerm), highestTermSeen) + 1;
            clearPromises();
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

    private void clearPromises() {
        promiseRequestedAt.clear();
        pendingRequests.clear();
    }

    /**
     * Records a received promise. Its lease counts from the time of the request, which is earlier than the time at
     * which the voter gave the promise.
     */
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

    /** Returns whether this voter is leader or needs at most one more promise for a majority. */
    boolean isWithinOnePromiseOfMajority(Duration now) {
        long validPromises = promiseRequestedAt.values().stream()
                .filter(requestedAt -> now.compareTo(validUntil(requestedAt)) < 0)
                .count();
        return leading || validPromises >= settings.largestMinority();
    }

    /**
     * Returns the time until which a promise requested at the given time is valid on every clock within the drift
     * bound.
     */
    private Duration validUntil(Duration requestedAt) {
        return requestedAt.plus(ClockDrift.lowerBound(settings.lease(), settings.clockDrift()));
    }

    /** Records the higher term that a voter reported when it rejected a vote request. */
    void receiveRejection(long higherTerm) {
        highestTermSeen = Math.max(highestTermSeen, higherTerm);
    }

    /** Returns the time until which a majority of the promises is valid on every clock; empty without a majority. */
    private Optional<Duration> leadershipExpiry() {
        // This voter's own promise is required because it persists the term locally, so a later incarnation of this
        // voter cannot reuse the term.
        if (promiseRequestedAt.size() <= settings.largestMinority() || !promiseRequestedAt.containsKey(self)) {
            return Optional.empty();
        }
        Duration[] requestedAt = promiseRequestedAt.values().toArray(new Duration[0]);
        Arrays.sort(requestedAt);
        Duration oldestRequestInMajority = requestedAt[requestedAt.length - settings.largestMinority() - 1];
        return Optional.of(validUntil(oldestRequestInMajority));
    }

    private boolean holdsMajority(Duration now) {
        return leadershipExpiry().filter(expiry -> now.compareTo(expiry) < 0).isPresent();
    }

    boolean isLeader(Duration now) {
        return leading && holdsMajority(now);
    }

    /** Returns the term of this voter's current leadership or latest candidacy. */
    long ownTerm() {
        return ownTerm;
    }

    // ---- other leaders

    /** Records a message from or about a leader; a leader with a lower term than the last known leader is ignored. */
    void observeLeader(Duration now, String leader, long term) {
        long lastLeaderTerm = lastLeader.map(Leadership.Leader::term).orElse(0L);
        if (term >= lastLeaderTerm) {
            highestTermSeen = Math.max(highestTermSeen, term);
            lastLeader = Optional.of(new Leadership.Leader(leader, term));
            lastLeaderSeenAt = now;
        }
    }

    /** Returns the current leader as far as this voter knows. */
    Optional<Leadership.Leader> leader(Duration now) {
        if (isLeader(now)) {
            return Optional.of(new Leadership.Leader(self, ownTerm));
        }
        Optional<Leadership.Leader> promisedLeader = promisedCandidate
                .filter(candidate -> !candidate.equals(self) && now.compareTo(promisedUntil) < 0)
                .map(candidate -> new Leadership.Leader(candidate, promisedTerm));
        Optional<Leadership.Leader> observedLeader =
                lastLeader.filter(leader -> now.minus(lastLeaderSeenAt).compareTo(settings.lease()) < 0
                        && (promisedLeader.isEmpty() || leader.term() >= promisedTerm));
        return observedLeader.or(() -> promisedLeader);
    }

    List<String> voters() {
        return settings.voters();
    }
}
