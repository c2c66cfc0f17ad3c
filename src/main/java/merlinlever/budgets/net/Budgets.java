package merlinlever.budgets.net;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.budgets.Budget;
import merlinlever.budgets.Sharing;
import merlinlever.members.Members;
import merlinlever.net.Loop;
import merlinlever.recovery.net.Rejoin;
import merlinlever.term.Terms;
import merlinlever.term.net.Leading;
import merlinlever.view.Seen;

/** One backend's part in the division of all budgets, on the loop and membership's datagrams. */
public final class Budgets implements Members.Hearer {

    private static final Set<String> WORDS = Set.of("Q", "G");
    private static final Duration LOOK = Duration.ofMillis(20);

    private final Loop loop;
    private final Rejoin rejoin;
    private final Sharing sharing;

    /** @param life a number that no other life of this backend has */
    public Budgets(
            Loop loop,
            Rejoin rejoin,
            List<Budget> budgets,
            Leading leading,
            Seen seen,
            long life,
            long seed,
            Sharing.Spender spender,
            Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        sharing = new Sharing(
                loop.clock().uptime(),
                rejoin.members().views().self(),
                life,
                budgets,
                leading.terms(),
                new SplittableRandom(seed),
                spender,
                log);
        sharing.under(seen);
        rejoin.members().hears(WORDS, this);
        loop.every(LOOK, () -> say(sharing.look(loop.clock().uptime())));
    }

    private void say(List<Terms.Say> all) {
        all.forEach(each -> rejoin.members().say(each.to(), each.number(), each.what()));
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void said(String name, long number, String what) {
        say(sharing.said(loop.clock().uptime(), name, number, what));
    }

    /** See {@link Sharing#wholes}. */
    public void wholes(List<Budget> changed) {
        sharing.wholes(changed);
    }

    /** See {@link Sharing#json}. */
    public String json() {
        return sharing.json(loop.clock().uptime());
    }
}
