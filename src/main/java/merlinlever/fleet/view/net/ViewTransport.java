package merlinlever.fleet.view.net;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.PayloadHandler;
import merlinlever.fleet.membership.TextMessageHandler;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.ViewManager;
import merlinlever.fleet.view.ViewSettings;

/** Runs one backend's {@link ViewManager} on the event loop and membership's datagrams. On the loop's thread only. */
public final class ViewTransport implements TextMessageHandler, PayloadHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final EventLoop loop;
    private final RecoveryCoordinator recovery;
    private final ViewManager manager;

    /**
     * Starts to take part in the view.
     *
     * @param election the one of this process
     * @param incarnationId a number that no other incarnation of this backend comes near; later ones are higher
     * @param log takes one line at each change of the quorum status or the view, and where voters hold another view
     */
    public ViewTransport(
            EventLoop loop,
            RecoveryCoordinator recovery,
            LeaderElection election,
            ViewSettings settings,
            long incarnationId,
            long seed,
            EventLog log) {
        this.loop = loop;
        this.recovery = recovery;
        // The term of this moment, before this incarnation votes on any: what earlier ones may have held.
        ViewManager.Setup setup = new ViewManager.Setup(
                settings,
                incarnationId,
                recovery.highestTerm(),
                recovery::reserveTerm,
                new SplittableRandom(seed),
                log);
        manager = new ViewManager(
                loop.clock().uptime(), setup, recovery.membership().memberTable(), election);
        recovery.membership().addTextHandler(ViewManager.MESSAGE_TYPES, this);
        recovery.membership().addPayloadHandler(this);
        loop.runNowAndEvery(
                TICK_INTERVAL, () -> recovery.send(manager.tick(loop.clock().uptime())));
    }

    /** What is known of the fleet, for the parts that depend on the peers. */
    public FleetView fleetView() {
        return manager;
    }

    @Override
    public void onText(String sender, long correlationId, String text) {
        recovery.send(manager.receive(loop.clock().uptime(), sender, correlationId, text));
    }

    @Override
    public void onPayload(String sender, byte[] payload) {
        manager.receivePayload(loop.clock().uptime(), payload);
    }

    /** See {@link ViewManager#json}. */
    public String json() {
        return manager.json(loop.clock().uptime());
    }
}
