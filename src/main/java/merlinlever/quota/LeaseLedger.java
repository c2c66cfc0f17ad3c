package merlinlever.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A leader's account of one budget: what each life of each backend may hold, at the most, and until when. What it grants
 * beyond what the asker may hold already comes out of what is certainly free; so whatever messages are lost, late or
 * twice, the sum of all that is held is never over the whole. Times are since the process began.
 */
public final class LeaseLedger {

    /**
     * What a backend asks with.
     *
     * @param holder its name
     * @param incarnation a number of its own life, which no other life of it has
     * @param held what it holds at this moment, by the grant of that number (0: none in this leadership)
     * @param inUse calls that are out at this moment, for a budget of calls at once
     */
    public record LeaseRequest(String holder, long incarnation, long currentGrant, long held, long inUse, long wanted) {}

    /** What was granted, under a number that the asker's next request tells it has. */
    public record LeaseGrant(long number, long amount) {}

    /** One amount that may be held until then. */
    private static final class IssuedLease {
        final long number;
        final long amount;
        Duration until;

        IssuedLease(long number, long amount, Duration until) {
            this.number = number;
            this.amount = amount;
            this.until = until;
        }
    }

    private static final class HolderAccount {
        final List<IssuedLease> out = new ArrayList<>();
        long wanted;
        Duration askedAt;

        long most() {
            long most = 0;
            for (IssuedLease each : out) {
                most = Math.max(most, each.amount);
            }
            return most;
        }
    }

    /** Accounts at the most; beyond, nobody new is granted anything. */
    private static final int MAX_ACCOUNTS = 4096;

    private FleetQuota budget;
    /** When every share that leaders before gave has run out. */
    private final Duration settledAt;

    private final Map<String, HolderAccount> accounts = new TreeMap<>();
    private long numbers;
    private int turn;

    /** A new leadership knows nothing of what was granted before it. */
    public LeaseLedger(Duration now, FleetQuota budget) {
        this.budget = budget;
        settledAt = now.plus(FleetQuota.slowest(budget.leaseDuration(), budget.maxClockDrift())).plus(budget.releaseDelay());
    }

    /** The whole was changed; what is out over a smaller one comes back as its leases run out. */
    public void updateQuota(FleetQuota changed) {
        budget = changed;
    }

    private static String stateKey(LeaseRequest request) {
        return request.holder() + "#" + request.incarnation();
    }

    private void expire(Duration now) {
        accounts.values().forEach(account -> account.out.removeIf(out -> now.compareTo(out.until) >= 0));
        accounts.values()
                .removeIf(account ->
                        account.out.isEmpty() && now.minus(account.askedAt).compareTo(budget.leaseDuration()) >= 0);
    }

    /** The most that all may hold together now. */
    public long outstanding(Duration now) {
        expire(now);
        return accounts.values().stream().mapToLong(HolderAccount::most).sum();
    }

    /** Answers a request, or null where there is no room for another account. */
    public LeaseGrant grant(Duration now, LeaseRequest request) {
        expire(now);
        HolderAccount account = accounts.get(stateKey(request));
        if (account == null) {
            if (accounts.size() >= MAX_ACCOUNTS) {
                return null;
            }
            account = new HolderAccount();
            accounts.put(stateKey(request), account);
        }
        account.askedAt = now;
        account.wanted = Math.max(0, request.wanted());
        Duration until =
                now.plus(FleetQuota.slowest(budget.leaseDuration(), budget.maxClockDrift())).plus(budget.releaseDelay());
        if (request.currentGrant() == 0 && request.held() > 0 && account.out.isEmpty()) {
            // By a leader before: it may hold that until its lease runs out, which no leader can have given later than
            // now.
            account.out.add(new IssuedLease(0, request.held(), until));
        }
        // It has a later grant: what it had before counts only as long as its last calls may.
        for (IssuedLease out : account.out) {
            if (out.number < request.currentGrant() && out.until.compareTo(now.plus(budget.releaseDelay())) > 0) {
                out.until = now.plus(budget.releaseDelay());
            }
        }
        if (request.inUse() > account.most()) {
            account.out.add(new IssuedLease(0, request.inUse(), now.plus(budget.releaseDelay())));
        }
        long others = outstanding(now) - account.most();
        long free = Math.max(0, budget.limit() - others);
        // Until all that leaders before gave has run out, nothing is certainly free.
        long most = now.compareTo(settledAt) < 0 ? Math.min(request.held(), account.most()) : free;
        long amount = Math.min(fair(now, stateKey(request)), most);
        LeaseGrant grant = new LeaseGrant(++numbers, Math.max(0, amount));
        account.out.add(new IssuedLease(grant.number(), grant.amount(), until));
        return grant;
    }

    /** What the asker would get if all that asked lately were to be given their shares now. */
    private long fair(Duration now, String key) {
        List<String> asking = new ArrayList<>();
        for (Map.Entry<String, HolderAccount> entry : accounts.entrySet()) {
            if (now.minus(entry.getValue().askedAt).compareTo(budget.leaseDuration()) < 0) {
                asking.add(entry.getKey());
            }
        }
        long[] wanted = new long[asking.size()];
        int[] weights = new int[asking.size()];
        for (int i = 0; i < wanted.length; i++) {
            wanted[i] = accounts.get(asking.get(i)).wanted;
            weights[i] = budget.weightOf(asking.get(i).substring(0, asking.get(i).lastIndexOf('#')));
        }
        return MaxMinFairAllocation.allocate(budget.limit(), wanted, weights, turn)[asking.indexOf(key)];
    }

    /** What is left over goes to the next ones from here on. */
    public void rotateRemainder() {
        turn++;
    }

    /** All that its next steps hang on, for a walk of its states. */
    String stateKey(Duration now) {
        expire(now);
        StringBuilder key = new StringBuilder()
                .append(numbers)
                .append(now.compareTo(settledAt) < 0 ? settledAt.minus(now) : "")
                .append(turn);
        accounts.forEach((holder, account) -> {
            key.append(holder).append(account.wanted).append(now.minus(account.askedAt));
            account.out.forEach(out -> key.append('/')
                    .append(out.number)
                    .append(':')
                    .append(out.amount)
                    .append(':')
                    .append(out.until.minus(now)));
        });
        return key.toString();
    }
}
