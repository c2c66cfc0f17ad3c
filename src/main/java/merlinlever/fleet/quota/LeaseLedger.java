package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A leader's record of the leases of one quota: an upper bound of the amount that each holder has, with its expiry. The
 * ledger grants an increase only from the part of the limit that no other holder can have. The sum of all held amounts
 * therefore never exceeds the limit, even if messages are lost, delayed or duplicated.
 *
 * <p>Not thread-safe; times are measured from the start of the process.
 */
public final class LeaseLedger {

    /** An amount that its holder may use until the expiry. */
    private static final class IssuedLease {
        private final long grantNumber;
        private final long amount;
        private Duration expiresAt;

        IssuedLease(long grantNumber, long amount, Duration expiresAt) {
            this.grantNumber = grantNumber;
            this.amount = amount;
            this.expiresAt = expiresAt;
        }
    }

    private static final class HolderAccount {
        private final List<IssuedLease> leases = new ArrayList<>();
        private long wanted;
        private Duration lastRequestAt = Duration.ZERO;

        /** Returns the largest amount of the leases, because the ledger does not know which lease the holder uses. */
        long maxHeld() {
            return leases.stream().mapToLong(lease -> lease.amount).max().orElse(0);
        }
    }

    /** Maximum number of holders; requests of further holders are not answered. */
    private static final int MAX_ACCOUNTS = 4096;
    /** Grant number of leases that this ledger did not grant, but that a holder reported. */
    private static final long REPORTED_BY_HOLDER = 0;

    private FleetQuota quota;
    /** Time at which all leases of earlier leaders have expired. */
    private final Duration earlierLeasesExpiredAt;

    private final Map<LeaseHolder, HolderAccount> accounts = new TreeMap<>();
    private long lastGrantNumber;
    private int rotation;

    /** Creates the ledger of a new leader, without knowledge of the grants of earlier leaders. */
    public LeaseLedger(Duration now, FleetQuota quota) {
        this.quota = quota;
        earlierLeasesExpiredAt = expiryOfLeaseGrantedAt(now);
    }

    private Duration expiryOfLeaseGrantedAt(Duration now) {
        return now.plus(quota.leaseDurationAtLeader()).plus(quota.releaseDelay());
    }

    /**
     * Updates the configuration of the quota. Outstanding amounts above a lower limit are reclaimed as their leases
     * expire.
     */
    public void updateQuota(FleetQuota changed) {
        quota = changed;
    }

    /** Returns an upper bound of the combined amount that all holders may use now. */
    public long outstanding(Duration now) {
        expire(now);
        return accounts.values().stream().mapToLong(HolderAccount::maxHeld).sum();
    }

    private void expire(Duration now) {
        for (HolderAccount account : accounts.values()) {
            account.leases.removeIf(lease -> now.compareTo(lease.expiresAt) >= 0);
        }
        accounts.values().removeIf(account -> account.leases.isEmpty() && !hasRecentRequest(now, account));
    }

    private boolean hasRecentRequest(Duration now, HolderAccount account) {
        return now.minus(account.lastRequestAt).compareTo(quota.leaseDuration()) < 0;
    }

    /** Answers a request; returns empty if the ledger is full and the holder is new. */
    public Optional<LeaseGrant> grant(Duration now, LeaseRequest request) {
        expire(now);
        LeaseHolder holder = new LeaseHolder(request.holder(), request.incarnation());
        HolderAccount account = accounts.get(holder);
        if (account == null) {
            if (accounts.size() >= MAX_ACCOUNTS) {
                return Optional.empty();
            }
            account = new HolderAccount();
            accounts.put(holder, account);
        }
        account.lastRequestAt = now;
        account.wanted = Math.max(0, request.wanted());
        recordReportedLeases(now, account, request);
        long amount = Math.min(fairShare(now, holder), maxGrant(now, account, request));
        LeaseGrant grant = new LeaseGrant(++lastGrantNumber, Math.max(0, amount));
        account.leases.add(new IssuedLease(grant.number(), grant.amount(), expiryOfLeaseGrantedAt(now)));
        return Optional.of(grant);
    }

    /** Updates the holder's leases with the amounts and the grant number that the request reports. */
    private void recordReportedLeases(Duration now, HolderAccount account, LeaseRequest request) {
        if (request.currentGrant() == 0 && request.held() > 0 && account.leases.isEmpty()) {
            // An earlier leader granted the reported amount, at the latest now.
            account.leases.add(new IssuedLease(REPORTED_BY_HOLDER, request.held(), expiryOfLeaseGrantedAt(now)));
        }
        // The holder has a later grant, so earlier leases count only for the release delay.
        Duration releasedAt = now.plus(quota.releaseDelay());
        for (IssuedLease lease : account.leases) {
            if (lease.grantNumber < request.currentGrant() && lease.expiresAt.compareTo(releasedAt) > 0) {
                lease.expiresAt = releasedAt;
            }
        }
        if (request.inUse() > account.maxHeld()) {
            account.leases.add(new IssuedLease(REPORTED_BY_HOLDER, request.inUse(), releasedAt));
        }
    }

    /** Returns the largest grant that cannot exceed the limit, given the most that the other holders may have. */
    private long maxGrant(Duration now, HolderAccount account, LeaseRequest request) {
        long heldByOthers = outstanding(now) - account.maxHeld();
        boolean earlierLeasesMayBeHeld = now.compareTo(earlierLeasesExpiredAt) < 0;
        return earlierLeasesMayBeHeld
                ? Math.min(request.held(), account.maxHeld())
                : Math.max(0, quota.limit() - heldByOthers);
    }

    /** Returns the holder's max-min fair share among all holders with a recent request. */
    private long fairShare(Duration now, LeaseHolder holder) {
        List<LeaseHolder> claimants = new ArrayList<>();
        List<MaxMinFairAllocation.Claim> claims = new ArrayList<>();
        accounts.forEach((id, account) -> {
            if (hasRecentRequest(now, account)) {
                claimants.add(id);
                claims.add(new MaxMinFairAllocation.Claim(account.wanted, quota.weightOf(id.backend())));
            }
        });
        return MaxMinFairAllocation.allocate(quota.limit(), claims, rotation)[claimants.indexOf(holder)];
    }

    /** Moves the remainder of an even division to the next holders. */
    public void rotateRemainder() {
        rotation++;
    }

    /** Returns a key of all state that affects future decisions, for state space exploration in tests. */
    String stateKey(Duration now) {
        expire(now);
        StringBuilder key = new StringBuilder()
                .append(lastGrantNumber)
                .append(now.compareTo(earlierLeasesExpiredAt) < 0 ? earlierLeasesExpiredAt.minus(now) : "")
                .append(rotation);
        accounts.forEach((holder, account) -> {
            key.append(holder).append(account.wanted).append(now.minus(account.lastRequestAt));
            account.leases.forEach(lease -> key.append('/')
                    .append(lease.grantNumber)
                    .append(':')
                    .append(lease.amount)
                    .append(':')
                    .append(lease.expiresAt.minus(now)));
        });
        return key.toString();
    }
}
