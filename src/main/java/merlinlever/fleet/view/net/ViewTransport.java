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

/**
 * Runs the {@link ViewManager} of one backend on the event loop and sends its messages as datagrams of the membership
 * protocol. Must only be called on the thread of the event loop.
 */
public final class ViewTransport implements TextMessageHandler, PayloadHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final EventLoop loop;
    private final RecoveryCoordinator recovery;
    private final ViewManager manager;

    /**
     * Starts the view manager and registers it for messages of peers.
     *
     * @param election the leader election of this process
     * @param incarnationId first correlation id; far from the ids of other incarnations of this backend, and higher
     *     than those of earlier incarnations
     * @param log receives an event for each change of the quorum status or the view, and for each diverging voter
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
        // The highest term is read before this incarnation votes: earlier incarnations may have held views of that term
        // or an earlier one.
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

    /** Returns the quorum status and the view for components that depend on the peers. */
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

    /** Returns the state as JSON; see {@link ViewManager#json}. */
    public String json() {
        return manager.json(loop.clock().uptime());
    }
}
