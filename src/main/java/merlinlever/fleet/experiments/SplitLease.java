package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.replication.SharedStore;
import merlinlever.fleet.replication.VersionedEntry;

/**
 * A lease that permits a backend to split callers. The backend requests the lease with an entry in the replicated
 * store. A leader that has not decided the experiment grants the lease by publishing the versions of the requests that
 * it has received. The lease starts with the request, by the monotonic clock of the requesting backend (C. Gray, D.
 * Cheriton, Leases, 1989). A leader with a result to write grants no more leases, so a backend that was partitioned
 * resumes splitting only by a grant issued before the experiment was decided.
 */
final class SplitLease {

    /** Maximum number of own requests that are kept for a later grant. */
    private static final int MAX_PENDING = 64;
    /** Maximum number of requests in one grant. */
    private static final int MAX_GRANTED = 250;

    private static final int RENEWALS_PER_LEASE = 8;

    private record PendingLeaseRequest(long incarnation, long sequence, Duration at) {}

    private final SharedStore store;
    private final String self;
    private final Experiment experiment;
    private final ArrayDeque<PendingLeaseRequest> pending = new ArrayDeque<>();
    private Duration expiry = Duration.ZERO;
    private Duration nextRequest = Duration.ZERO;
    private Duration nextGrant = Duration.ZERO;
    private long highestTerm;
    private String lastGrants = "";

    SplitLease(SharedStore store, String self, Experiment experiment) {
        this.store = store;
        this.self = self;
        this.experiment = experiment;
    }

    private String requestTopic() {
        return "trial-q/" + experiment.name();
    }

    private String grantTopic() {
        return "trial-go/" + experiment.name();
    }

    private Duration renewalInterval() {
        return experiment.leaseDuration().dividedBy(RENEWALS_PER_LEASE);
    }

    boolean isHeld(Duration now) {
        return now.compareTo(expiry) < 0;
    }

    Duration expiry() {
        return expiry;
    }

    /** Requests a lease if a renewal is due. */
    void request(Duration now) {
        if (now.compareTo(nextRequest) < 0) {
            return;
        }
        nextRequest = now.plus(renewalInterval());
        if (store.put(now, requestTopic(), experiment.key().getBytes(StandardCharsets.US_ASCII))) {
            store.get(self, requestTopic())
                    .ifPresent(
                            entry -> pending.add(new PendingLeaseRequest(entry.incarnation(), entry.sequence(), now)));
        }
        while (pending.size() > MAX_PENDING) {
            pending.poll();
        }
    }

    /**
     * Grants, as the leader of a term, all requests for the experiment with this configuration if the next grant is
     * due.
     */
    void grant(Duration now, long term) {
        if (now.compareTo(nextGrant) < 0) {
            return;
        }
        nextGrant = now.plus(renewalInterval());
        StringBuilder grants = new StringBuilder(experiment.key()).append(' ').append(term);
        store.entries(requestTopic()).stream()
                .limit(MAX_GRANTED)
                .filter(request -> text(request).equals(experiment.key()))
                .forEach(request -> grants.append(' ')
                        .append(request.owner())
                        .append(' ')
                        .append(request.incarnation())
                        .append(' ')
                        .append(request.sequence()));
        store.put(now, grantTopic(), grants.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private static String text(VersionedEntry entry) {
        return new String(entry.value(), StandardCharsets.US_ASCII);
    }

    /** Extends the lease by a new grant of the leader, if there is one. */
    void readGrants(Leadership.Leader leader) {
        Optional<String> grants = store.get(leader.name(), grantTopic()).map(SplitLease::text);
        if (grants.isEmpty() || grants.get().equals(lastGrants)) {
            return;
        }
        lastGrants = grants.get();
        String[] parts = lastGrants.split(" ");
        try {
            if (!parts[0].equals(experiment.key()) || Long.parseLong(parts[1]) < Math.max(highestTerm, leader.term())) {
                return;
            }
            highestTerm = Long.parseLong(parts[1]);
            for (int i = 2; i + 2 < parts.length; i += 3) {
                if (parts[i].equals(self)) {
                    extendLease(Long.parseLong(parts[i + 1]), Long.parseLong(parts[i + 2]));
                }
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            // The entry is not in the format of a grant and is ignored.
        }
    }

    private void extendLease(long incarnation, long sequence) {
        for (PendingLeaseRequest request : pending) {
            Duration requestExpiry = request.at.plus(experiment.leaseDuration());
            if (request.incarnation == incarnation
                    && request.sequence == sequence
                    && requestExpiry.compareTo(expiry) > 0) {
                expiry = requestExpiry;
            }
        }
    }
}
