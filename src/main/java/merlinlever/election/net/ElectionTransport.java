package merlinlever.election.net;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.LeaderElection;
import merlinlever.membership.SwimProtocol;
import merlinlever.net.EventLoop;
import merlinlever.recovery.net.RecoveryCoordinator;

/** One backend's part in who leads, on the loop and membership's datagrams; one for all that ask for a leader. */
public final class ElectionTransport implements SwimProtocol.TextMessageHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final LeaderElection election;

    /** @param voters who may lead; the same everywhere */
    public ElectionTransport(
            EventLoop loop,
            RecoveryCoordinator rejoin,
            List<String> voters,
            Duration lease,
            double drift,
            long seed,
            Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        election = new LeaderElection(
                loop.clock().uptime(),
                rejoin.members().memberTable().self(),
                voters,
                lease,
                drift,
                rejoin.term(),
                rejoin::noted,
                new SplittableRandom(seed),
                log);
        rejoin.members().addTextHandler(LeaderElection.MESSAGE_TYPES, this);
        loop.every(TICK_INTERVAL, () -> send(election.tick(loop.clock().uptime())));
    }

    public LeaderElection election() {
        return election;
    }

    private void send(List<LeaderElection.PeerMessage> all) {
        all.forEach(each -> rejoin.members().sendText(each.recipient(), each.correlationId(), each.text()));
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void onText(String name, long number, String what) {
        send(election.receive(loop.clock().uptime(), name, number, what));
    }
}
