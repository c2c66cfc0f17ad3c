package merlinlever.quota.net;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.LeaderElection;
import merlinlever.election.net.ElectionTransport;
import merlinlever.membership.SwimProtocol;
import merlinlever.net.EventLoop;
import merlinlever.quota.FleetQuota;
import merlinlever.quota.QuotaCoordinator;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.view.FleetView;

/** One backend's part in the division of all budgets, on the loop and membership's datagrams. */
public final class QuotaTransport implements SwimProtocol.TextMessageHandler {

    private static final Set<String> WORDS = Set.of("Q", "G");
    private static final Duration LOOK = Duration.ofMillis(20);

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final QuotaCoordinator sharing;

    /** @param life a number that no other life of this backend has */
    public QuotaTransport(
            EventLoop loop,
            RecoveryCoordinator rejoin,
            List<FleetQuota> budgets,
            ElectionTransport leading,
            FleetView seen,
            long life,
            long seed,
            QuotaCoordinator.QuotaConsumer spender,
            Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        sharing = new QuotaCoordinator(
                loop.clock().uptime(),
                rejoin.membership().views().self(),
                life,
                budgets,
                leading.terms(),
                new SplittableRandom(seed),
                spender,
                log);
        sharing.restrictTo(seen);
        rejoin.membership().hears(WORDS, this);
        loop.every(LOOK, () -> say(sharing.tick(loop.clock().uptime())));
    }

    private void say(List<LeaderElection.PeerMessage> all) {
        all.forEach(each -> rejoin.membership().say(each.to(), each.number(), each.what()));
        if (!all.isEmpty()) {
            rejoin.flush();
        }
    }

    @Override
    public void said(String name, long number, String what) {
        say(sharing.receive(loop.clock().uptime(), name, number, what));
    }

    /** See {@link QuotaCoordinator#updateQuotas}. */
    public void updateQuotas(List<FleetQuota> changed) {
        sharing.updateQuotas(changed);
    }

    /** See {@link QuotaCoordinator#statusJson}. */
    public String statusJson() {
        return sharing.statusJson(loop.clock().uptime());
    }
}
