package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.replication.SharedStore;
import merlinlever.fleet.replication.VersionedEntry;

/**
 * For how long a backend may split callers. It requests a lease by an entry of its own in the replicated store; a leader that has not ended
 * the experiment answers with the versions of the requests it has received, and a lease runs from its request, by the requester's
 * steady clock (C. Gray, D. Cheriton, Leases, 1989). A leader that has a result to write grants no more. So a backend that was cut off
 * splits again only by a grant that was given before anybody had ended the experiment, or not at all.
 */
final class SplitLease {

    /** Requests that may still be granted. */
    private static final int MAX_PENDING = 64;
    /** Requests that are granted at a time. */
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

    /** Requests a lease if the next request is due. */
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

    /** As the leader of a term, grants all requests for this very experiment if the next grant is due. */
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

    /** Takes over what the leader has granted. */
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
                    granted(Long.parseLong(parts[i + 1]), Long.parseLong(parts[i + 2]));
                }
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            // Not what a leader writes: no grant.
        }
    }

    private void granted(long incarnation, long sequence) {
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
