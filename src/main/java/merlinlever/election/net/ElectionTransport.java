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

    private static final Duration LOOK = Duration.ofMillis(20);

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final LeaderElection terms;

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
        terms = new LeaderElection(
                loop.clock().uptime(),
                rejoin.membership().views().self(),
                voters,
                lease,
                drift,
                rejoin.highestTerm(),
                rejoin::reserveTerm,
                new SplittableRandom(seed),
                log);
        rejoin.membership().hears(LeaderElection.WORDS, this);
        loop.every(LOOK, () -> say(terms.look(loop.clock().uptime())));
    }

    public LeaderElection terms() {
        return terms;
    }

    private void say(List<LeaderElection.PeerMessage> all) {
        all.forEach(each -> rejoin.membership().say(each.to(), each.number(), each.what()));
        if (!all.isEmpty()) {
            rejoin.flush();
        }
    }

    @Override
    public void said(String name, long number, String what) {
        say(terms.said(loop.clock().uptime(), name, number, what));
    }
}
