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

    private static final Duration LOOK = Duration.ofMillis(50);

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final ViewManager sight;

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
        sight = new ViewManager(
                loop.clock().uptime(),
                stated,
                rejoin.membership().views(),
                terms,
                life,
                rejoin.highestTerm(),
                rejoin::reserveTerm,
                new SplittableRandom(seed),
                log);
        rejoin.membership().hears(ViewManager.WORDS, this);
        rejoin.membership().takes(this);
        loop.every(LOOK, () -> say(sight.look(loop.clock().uptime())));
    }

    /** For those who depend on the others. */
    public FleetView seen() {
        return sight;
    }

    private void say(List<ViewManager.ViewMessage> all) {
        for (ViewManager.ViewMessage each : all) {
            if (each.body() != null) {
                rejoin.membership().carry(each.to(), each.body());
            } else {
                rejoin.membership().say(each.to(), each.number(), each.what());
            }
        }
        if (!all.isEmpty()) {
            rejoin.flush();
        }
    }

    @Override
    public void said(String name, long number, String what) {
        say(sight.said(loop.clock().uptime(), name, number, what));
    }

    @Override
    public void carried(String name, byte[] body) {
        sight.carried(loop.clock().uptime(), name, body);
    }

    /** See {@link ViewManager#json}. */
    public String json() {
        return sight.json(loop.clock().uptime());
    }
}
