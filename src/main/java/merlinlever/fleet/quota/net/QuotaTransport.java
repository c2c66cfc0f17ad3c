package merlinlever.fleet.quota.net;

import java.time.Duration;
import java.util.List;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.membership.TextMessageHandler;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.quota.QuotaCoordinator;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;

/** Exchanges the messages of a {@link QuotaCoordinator} in membership datagrams. Confined to the event loop thread. */
public final class QuotaTransport implements TextMessageHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final RecoveryCoordinator recovery;
    private final QuotaCoordinator coordinator;

    /** Creates the transport and starts the coordinator. */
    public QuotaTransport(EventLoop loop, RecoveryCoordinator recovery, QuotaCoordinator coordinator) {
        this.loop = loop;
        this.recovery = recovery;
        this.coordinator = coordinator;
        recovery.membership().addTextHandler(QuotaCoordinator.MESSAGE_TYPES, this);
        loop.runNowAndEvery(TICK_INTERVAL, () -> recovery.send(coordinator.tick(now())));
    }

    private Duration now() {
        return loop.clock().uptime();
    }

    @Override
    public void onText(String sender, long correlationId, String text) {
        recovery.send(coordinator.receive(now(), sender, correlationId, text));
    }

    /** See {@link QuotaCoordinator#updateQuotas}. */
    public void updateQuotas(List<FleetQuota> changed) {
        coordinator.updateQuotas(changed);
    }

    /** See {@link QuotaCoordinator#statusJson}. */
    public String statusJson() {
        return coordinator.statusJson(now());
    }
}
