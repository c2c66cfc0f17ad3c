package merlinlever.fleet.election.net;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.TextMessageHandler;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;

/**
 * Runs a backend's {@link LeaderElection} on the event loop and sends its messages in membership datagrams. All
 * components that need a leader share one instance. Confined to the event loop thread.
 */
public final class ElectionTransport implements TextMessageHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final RecoveryCoordinator recovery;
    private final LeaderElection election;

    /**
     * Creates the transport and starts to participate in the election.
     *
     * @param recovery persists the terms; its membership transport carries the messages
     */
    public ElectionTransport(
            EventLoop loop, RecoveryCoordinator recovery, ElectionSettings settings, long seed, EventLog log) {
        this.loop = loop;
        this.recovery = recovery;
        election = new LeaderElection(
                loop.clock().uptime(),
                recovery.membership().memberTable().self(),
                settings,
                recovery.highestTerm(),
                recovery::reserveTerm,
                new SplittableRandom(seed),
                log);
        recovery.membership().addTextHandler(LeaderElection.MESSAGE_TYPES, this);
        loop.runNowAndEvery(
                TICK_INTERVAL, () -> recovery.send(election.tick(loop.clock().uptime())));
    }

    /** Returns the election, for components that need a leader. */
    public LeaderElection election() {
        return election;
    }

    @Override
    public void onText(String sender, long correlationId, String text) {
        recovery.send(election.receive(loop.clock().uptime(), sender, correlationId, text));
    }
}
