package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * A backend's lease of one quota. The lease is valid from its request for the lease duration, reduced by the maximum
 * clock drift. A backend that cannot reach the leader may use its amount until the lease expires. Not thread-safe;
 * times are measured from the start of the process.
 */
public final class QuotaLease {

    /**
     * A request to renew the lease.
     *
     * @param correlationId identifies the request; the grant carries the same id
     * @param currentGrant number of the grant of the current lease, 0 if the leader of the request's term did not grant
     *     the lease
     * @param held amount held now
     * @param inUse calls in flight now
     * @param wanted amount that the backend would use without the quota
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
     * Creates a lease without an amount.
     *
     * @param firstCorrelationId number below the correlation ids of all requests. Incarnations of a backend use
     *     separate ranges of ids, so grants for an earlier incarnation are not accepted.
     */
    public QuotaLease(FleetQuota quota, long firstCorrelationId) {
        this.quota = quota;
        lastCorrelationId = firstCorrelationId;
        answeredCorrelationId = firstCorrelationId;
    }

    /** Returns the leased quota. */
    public FleetQuota quota() {
        return quota;
    }

    /** Updates the configuration of the quota. */
    public void updateQuota(FleetQuota changed) {
        quota = changed;
    }

    /** Returns a key of all state that affects future decisions, for state space exploration in tests. */
    String stateKey(Duration now) {
        return lastCorrelationId + "," + answeredCorrelationId + ","
                + requestedAt.map(at -> now.minus(at).toString()).orElse("") + "," + term + ","
                + grantNumber + "," + available(now) + ","
                + (available(now) == 0 ? "" : expiresAt.minus(now));
    }

    /** Returns the amount that the backend may use now. */
    public long available(Duration now) {
        return now.compareTo(expiresAt) < 0 ? amount : 0;
    }

    /** Returns the time at which the lease expires unless it is renewed. */
    public Duration expiresAt() {
        return expiresAt;
    }

    /**
     * Creates a renewal request to the leader of the term. Grants of earlier terms are not accepted afterwards.
     *
     * @return the request; empty if an earlier request was to a leader of a later term
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
     * Applies the grant that answers the latest request. Duplicates, answers to earlier requests and grants of earlier
     * terms are ignored.
     *
     * @return whether the grant was applied
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
