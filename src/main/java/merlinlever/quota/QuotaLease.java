package merlinlever.quota;

import java.time.Duration;

/**
 * One backend's share of one budget. It is spent for a lease from the moment at which it was asked for, less what clocks
 * may drift apart, and is nothing after that: a backend that loses contact keeps what it holds until then and never more.
 * Times are since the process began.
 */
public final class QuotaLease {

    /** A question for a share, under a number that the answer has to bear. */
    public record RenewalRequest(long number, long currentGrant, long held, long inUse, long wanted) {}

    private FleetQuota budget;
    private long number, answered;
    private Duration askedAt;
    private long term, grant, amount;
    private Duration until = Duration.ZERO;

    /** @param first number of its questions, which no other life of this backend comes near: an old answer is none to it */
    public QuotaLease(FleetQuota budget, long first) {
        this.budget = budget;
        number = first;
        answered = first;
    }

    public FleetQuota quota() {
        return budget;
    }

    /** The whole was changed. */
    public void updateQuota(FleetQuota changed) {
        budget = changed;
    }

    /** All that its next steps hang on, for a walk of its states. */
    String stateKey(Duration now) {
        return number + "," + answered + "," + (askedAt == null ? "" : now.minus(askedAt)) + "," + term + "," + grant
                + "," + available(now) + "," + (available(now) == 0 ? "" : until.minus(now));
    }

    /** What may be spent now. */
    public long available(Duration now) {
        return now.compareTo(until) < 0 ? amount : 0;
    }

    /** Until when, unless it is renewed. */
    public Duration expiresAt() {
        return until;
    }

    /** Of the leadership whose grant it holds. */
    public long term() {
        return term;
    }

    /** Asks the leader of that term; from here on nothing of an older one is taken. */
    public RenewalRequest requestRenewal(Duration now, long ofTerm, long inUse, long wanted) {
        if (ofTerm < term) {
            return null;
        }
        if (ofTerm > term) {
            term = ofTerm;
            grant = 0;
        }
        number++;
        askedAt = now;
        return new RenewalRequest(number, grant, available(now), inUse, wanted);
    }

    /** The answer to the last question; older ones, doubled ones and those of older leaders change nothing. */
    public boolean applyGrant(Duration now, long ofTerm, long to, long itsNumber, long itsAmount) {
        if (ofTerm != term || to != number || to <= answered || itsAmount < 0 || itsAmount > budget.limit()) {
            return false;
        }
        answered = to;
        grant = itsNumber;
        amount = itsAmount;
        until = askedAt.plus(FleetQuota.surest(budget.leaseDuration(), budget.maxClockDrift()));
        return true;
    }
}
