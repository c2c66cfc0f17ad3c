package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * What one backend holds of one quota. A lease may be spent for its duration from the moment at which it was requested, less
 * what clocks may drift apart, and is nothing after that: a backend that loses contact keeps what it holds until then and
 * never more. Not thread-safe; durations are since the process began.
 */
public final class QuotaLease {

    /**
     * A request to renew the lease.
     *
     * @param correlationId identifies the request; the grant has to carry the same one
     * @param currentGrant the number of the grant held by, 0 if there is none of this leader
     * @param held the amount held now
     * @param inUse calls in flight now
     * @param wanted the amount that would be used
     */
    public record RenewalRequest(long correlationId, long currentGrant, long held, long inUse, long wanted) {}

    private FleetQuota quota;
    private long lastCorrelationId;
    private long answeredCorrelationId;
    private Optional<Duration> requestedAt = Optional.empty();
    private long term;
    private long grantNumber;
    private long amount;
    private Duration expiresAt = Duration.ZERO;

    /**
     * @param firstCorrelationId above it the correlation ids of requests begin; no other incarnation of this backend comes
     *     near it, so that an old grant is none to this one
     */
    public QuotaLease(FleetQuota quota, long firstCorrelationId) {
        this.quota = quota;
        lastCorrelationId = firstCorrelationId;
        answeredCorrelationId = firstCorrelationId;
    }

    /** The quota that this is a lease of. */
    public FleetQuota quota() {
        return quota;
    }

    /** The configuration of the quota was changed. */
    public void updateQuota(FleetQuota changed) {
        quota = changed;
    }

    /** All that future decisions depend on, for a walk of the states in tests. */
    String stateKey(Duration now) {
        return lastCorrelationId + "," + answeredCorrelationId + ","
                + requestedAt.map(at -> now.minus(at).toString()).orElse("") + "," + term + ","
                + grantNumber + "," + available(now) + ","
                + (available(now) == 0 ? "" : expiresAt.minus(now));
    }

    /** The amount that may be spent now. */
    public long available(Duration now) {
        return now.compareTo(expiresAt) < 0 ? amount : 0;
    }

    /** Until when the amount may be spent, unless the lease is renewed. */
    public Duration expiresAt() {
        return expiresAt;
    }

    /**
     * Requests a renewal from the leader of that term; from here on no grant of an earlier term is accepted.
     *
     * @return the request, empty if a leader of a later term was asked before
     */
    public Optional<RenewalRequest> requestRenewal(Duration now, long leaderTerm, long inUse, long wanted) {
        if (leaderTerm < term) {
            return Optional.empty();
        }
        if (leaderTerm > term) {
            term = leaderTerm;
            grantNumber = 0;
        }
        lastCorrelationId++;
        requestedAt = Optional.of(now);
        return Optional.of(new RenewalRequest(lastCorrelationId, grantNumber, available(now), inUse, wanted));
    }

    /**
     * Accepts the grant that answers the last request. Answers to earlier requests, duplicates, and those of leaders of
     * earlier terms change nothing.
     *
     * @return whether it was accepted
     */
    public boolean applyGrant(long leaderTerm, long correlationId, LeaseGrant grant) {
        boolean isAnswerToLastRequest =
                leaderTerm == term && correlationId == lastCorrelationId && correlationId > answeredCorrelationId;
        if (!isAnswerToLastRequest || grant.amount() < 0 || grant.amount() > quota.limit()) {
            return false;
        }
        answeredCorrelationId = correlationId;
        grantNumber = grant.number();
        amount = grant.amount();
        expiresAt = requestedAt.orElseThrow().plus(quota.leaseDurationAtHolder());
        return true;
    }
}
