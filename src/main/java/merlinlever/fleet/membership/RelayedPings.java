package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Pings that this member sent on behalf of peers. Not thread-safe. */
final class RelayedPings {

    /**
     * One ping.
     *
     * @param requester gossip address of the peer that asked for it
     * @param requestId correlation id of its request
     * @param nackAt when it is told that no answer came yet; null once it was
     */
    record RelayedPing(String requester, long requestId, Duration nackAt, Duration expiresAt) {
        private RelayedPing nacked() {
            return new RelayedPing(requester, requestId, null, expiresAt);
        }
    }

    /** The requester of a ping is told after its timeout less this part of it that no answer came. */
    private static final int NACK_LEAD_DIVISOR = 5;

    private final SwimSettings settings;
    private final Map<Long, RelayedPing> byCorrelationId = new LinkedHashMap<>();

    RelayedPings(SwimSettings settings) {
        this.settings = settings;
    }

    /** A ping is sent now under that correlation id; its requester is told after four fifths of the timeout that none came. */
    void add(Duration now, long correlationId, String requester, long requestId) {
        Duration timeout = settings.pingTimeout();
        Duration nackAt = now.plus(timeout.minus(timeout.dividedBy(NACK_LEAD_DIVISOR)));
        Duration expiresAt = now.plus(settings.probePeriod());
        byCorrelationId.put(correlationId, new RelayedPing(requester, requestId, nackAt, expiresAt));
    }

    /** The ping of that correlation id was answered. */
    Optional<RelayedPing> remove(long correlationId) {
        return Optional.ofNullable(byCorrelationId.remove(correlationId));
    }

    /** The pings whose requesters are to be told now that no answer came yet; forgets those that expired. */
    List<RelayedPing> dueNacks(Duration now) {
        List<RelayedPing> due = new ArrayList<>();
        byCorrelationId.replaceAll((correlationId, ping) -> {
            if (ping.nackAt == null || now.compareTo(ping.nackAt) < 0) {
                return ping;
            }
            due.add(ping);
            return ping.nacked();
        });
        byCorrelationId.values().removeIf(ping -> now.compareTo(ping.expiresAt) >= 0);
        return due;
    }
}
