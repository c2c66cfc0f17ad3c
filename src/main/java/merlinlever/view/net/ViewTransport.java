package merlinlever.view.net;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.LeaderElection;
import merlinlever.membership.SwimProtocol;
import merlinlever.net.EventLoop;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.view.FleetView;
import merlinlever.view.ViewManager;
import merlinlever.view.ViewSettings;

/** One backend's sight of the fleet, on the loop and membership's datagrams. */
public final class ViewTransport implements SwimProtocol.TextMessageHandler, SwimProtocol.PayloadHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final ViewManager manager;

    /**
     * @param terms who leads; the one of this process
     * @param life a number that no other life of this backend comes near, later ones higher
     * @param log one line at each change of the standing or the view, and where voters hold another
     */
    public ViewTransport(
            EventLoop loop,
            RecoveryCoordinator rejoin,
            LeaderElection terms,
            ViewSettings stated,
            long life,
            long seed,
            Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        // The term of this moment, before this life votes on any: what its lives before may have held.
        manager = new ViewManager(
                loop.clock().uptime(),
                stated,
                rejoin.members().memberTable(),
                terms,
                life,
                rejoin.term(),
                rejoin::noted,
                new SplittableRandom(seed),
                log);
        rejoin.members().addTextHandler(ViewManager.MESSAGE_TYPES, this);
        rejoin.members().addPayloadHandler(this);
        loop.every(TICK_INTERVAL, () -> send(manager.tick(loop.clock().uptime())));
    }

    /** For those who depend on the others. */
    public FleetView fleetView() {
        return manager;
    }

    private void send(List<ViewManager.ViewMessage> all) {
        for (ViewManager.ViewMessage each : all) {
            if (each.payload() != null) {
                rejoin.members().sendPayload(each.recipient(), each.payload());
            } else {
                rejoin.members().sendText(each.recipient(), each.correlationId(), each.text());
            }
        }
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void onText(String name, long number, String what) {
        send(manager.receive(loop.clock().uptime(), name, number, what));
    }

    @Override
    public void onPayload(String name, byte[] body) {
        manager.receivePayload(loop.clock().uptime(), name, body);
    }

    /** See {@link ViewManager#json}. */
    public String json() {
        return manager.json(loop.clock().uptime());
    }
}
