package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A leader's account of one quota: the most that each incarnation of each backend may hold, and until when. What it grants
 * beyond what the requester may hold already is taken from what is certainly free; so whatever messages are lost, late or
 * duplicated, the sum of all that is held never exceeds the limit.
 *
 * <p>Not thread-safe; durations are since the process began.
 */
public final class LeaseLedger {

    /** An amount that its holder may spend until it expires. */
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

        /** The most that the holder can spend: it has one of the leases, whichever reached it last. */
        long maxHeld() {
            return leases.stream().mapToLong(lease -> lease.amount).max().orElse(0);
        }
    }

    /** Beyond this number nobody new is granted anything. */
    private static final int MAX_ACCOUNTS = 4096;
    /** The number of a lease that was not granted here, but found to be held. */
    private static final long NOT_GRANTED_HERE = 0;

    private FleetQuota quota;
    /** From then on all leases of earlier leaders have expired. */
    private final Duration earlierLeasesExpiredAt;

    private final Map<LeaseHolder, HolderAccount> accounts = new TreeMap<>();
    private long lastGrantNumber;
    private int rotation;

    /** The ledger of a new leadership, which knows nothing of what was granted before it. */
    public LeaseLedger(Duration now, FleetQuota quota) {
        this.quota = quota;
        earlierLeasesExpiredAt = expiryOfLeaseGrantedAt(now);
    }

    private Duration expiryOfLeaseGrantedAt(Duration now) {
        return now.plus(quota.leaseDurationAtLeader()).plus(quota.releaseDelay());
    }

    /** The quota was changed; what is outstanding above a smaller limit comes back as its leases expire. */
    public void updateQuota(FleetQuota changed) {
        quota = changed;
    }

    /** The most that all holders together may spend now. */
    public long outstanding(Duration now) {
        expire(now);
        return accounts.values().stream().mapToLong(HolderAccount::maxHeld).sum();
    }

    private void expire(Duration now) {
        for (HolderAccount account : accounts.values()) {
            account.leases.removeIf(lease -> now.compareTo(lease.expiresAt) >= 0);
        }
        accounts.values().removeIf(account -> account.leases.isEmpty() && !hasRequestedLately(now, account));
    }

    private boolean hasRequestedLately(Duration now, HolderAccount account) {
        return now.minus(account.lastRequestAt).compareTo(quota.leaseDuration()) < 0;
    }

    /** Answers a request; empty where there is no room for another account. */
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
        recordWhatIsHeld(now, account, request);
        long amount = Math.min(fairShare(now, holder), maxGrant(now, account, request));
        LeaseGrant grant = new LeaseGrant(++lastGrantNumber, Math.max(0, amount));
        account.leases.add(new IssuedLease(grant.number(), grant.amount(), expiryOfLeaseGrantedAt(now)));
        return Optional.of(grant);
    }

    /** Takes over from the request which of its leases the holder still has. */
    private void recordWhatIsHeld(Duration now, HolderAccount account, LeaseRequest request) {
        if (request.currentGrant() == 0 && request.held() > 0 && account.leases.isEmpty()) {
            // Granted by an earlier leader, which cannot have granted it later than now.
            account.leases.add(new IssuedLease(NOT_GRANTED_HERE, request.held(), expiryOfLeaseGrantedAt(now)));
        }
        // The holder has a later grant: what it held before counts only as long as its last calls may.
        Duration released = now.plus(quota.releaseDelay());
        for (IssuedLease lease : account.leases) {
            if (lease.grantNumber < request.currentGrant() && lease.expiresAt.compareTo(released) > 0) {
                lease.expiresAt = released;
            }
        }
        if (request.inUse() > account.maxHeld()) {
            account.leases.add(new IssuedLease(NOT_GRANTED_HERE, request.inUse(), released));
        }
    }

    /** The most that can be granted without exceeding the limit, whatever the other holders have. */
    private long maxGrant(Duration now, HolderAccount account, LeaseRequest request) {
        long heldByOthers = outstanding(now) - account.maxHeld();
        boolean earlierLeasesMayBeHeld = now.compareTo(earlierLeasesExpiredAt) < 0;
        return earlierLeasesMayBeHeld
                ? Math.min(request.held(), account.maxHeld())
                : Math.max(0, quota.limit() - heldByOthers);
    }

    /** What the holder would get if all that requested lately were to be given their shares now. */
    private long fairShare(Duration now, LeaseHolder holder) {
        List<LeaseHolder> claimants = new ArrayList<>();
        List<MaxMinFairAllocation.Claim> claims = new ArrayList<>();
        accounts.forEach((id, account) -> {
            if (hasRequestedLately(now, account)) {
                claimants.add(id);
                claims.add(new MaxMinFairAllocation.Claim(account.wanted, quota.weightOf(id.backend())));
            }
        });
        return MaxMinFairAllocation.allocate(quota.limit(), claims, rotation)[claimants.indexOf(holder)];
    }

    /** Units that are left over after an even division go to the next holders from here on. */
    public void rotateRemainder() {
        rotation++;
    }

    /** All that future decisions depend on, for a walk of the states in tests. */
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
