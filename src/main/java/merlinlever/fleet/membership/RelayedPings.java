package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tracks the pings that this member sent on behalf of peers. Not thread-safe. */
final class RelayedPings {

    /**
     * A ping on behalf of a peer.
     *
     * @param requester gossip address of the peer that requested the ping
     * @param requestId correlation id of the request
     * @param nackAt time at which the requester receives a nack if the target has not replied; null after the nack
     */
    record RelayedPing(String requester, long requestId, Duration nackAt, Duration expiresAt) {
        private RelayedPing withNackSent() {
            return new RelayedPing(requester, requestId, null, expiresAt);
        }
    }

    /** The nack precedes the end of the ping timeout by the timeout divided by this number. */
    private static final int NACK_LEAD_DIVISOR = 5;

    private final SwimSettings settings;
    private final Map<Long, RelayedPing> byCorrelationId = new LinkedHashMap<>();

    RelayedPings(SwimSettings settings) {
        this.settings = settings;
    }

    /** Adds a ping that is sent now with the given correlation id. The nack is due after four fifths of the timeout. */
    void add(Duration now, long correlationId, String requester, long requestId) {
        Duration timeout = settings.pingTimeout();
        Duration nackAt = now.plus(timeout.minus(timeout.dividedBy(NACK_LEAD_DIVISOR)));
        Duration expiresAt = now.plus(settings.probePeriod());
        byCorrelationId.put(correlationId, new RelayedPing(requester, requestId, nackAt, expiresAt));
    }

    /** Removes and returns the answered ping with the given correlation id; empty if there is none. */
    Optional<RelayedPing> remove(long correlationId) {
        return Optional.ofNullable(byCorrelationId.remove(correlationId));
    }

    /** Returns the unanswered pings whose requesters have to receive a nack now, and removes expired pings. */
    List<RelayedPing> dueNacks(Duration now) {
        List<RelayedPing> due = new ArrayList<>();
        byCorrelationId.replaceAll((correlationId, ping) -> {
            if (ping.nackAt == null || now.compareTo(ping.nackAt) < 0) {
                return ping;
            }
            due.add(ping);
            return ping.withNackSent();
        });
        byCorrelationId.values().removeIf(ping -> now.compareTo(ping.expiresAt) >= 0);
        return due;
    }
}
