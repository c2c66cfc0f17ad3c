package merlinlever.quota.net;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.net.ElectionTransport;
import merlinlever.membership.PeerMessage;
import merlinlever.membership.TextMessageHandler;
import merlinlever.net.EventLoop;
import merlinlever.quota.FleetQuota;
import merlinlever.quota.QuotaCoordinator;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.view.FleetView;

/** One backend's part in the division of all budgets, on the loop and membership's datagrams. */
public final class QuotaTransport implements TextMessageHandler {

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
                rejoin.members().memberTable().self(),
                life,
                budgets,
                leading.election(),
                new SplittableRandom(seed),
                spender,
                log);
        sharing.under(seen);
        rejoin.members().addTextHandler(WORDS, this);
        loop.every(LOOK, () -> say(sharing.look(loop.clock().uptime())));
    }

    private void say(List<PeerMessage.Text> all) {
        all.forEach(rejoin.members()::send);
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void onText(String name, long number, String what) {
        say(sharing.said(loop.clock().uptime(), name, number, what));
    }

    /** See {@link QuotaCoordinator#wholes}. */
    public void wholes(List<FleetQuota> changed) {
        sharing.wholes(changed);
    }

    /** See {@link QuotaCoordinator#json}. */
    public String json() {
        return sharing.json(loop.clock().uptime());
    }
}
