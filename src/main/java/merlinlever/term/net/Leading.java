package merlinlever.term.net;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.members.Members;
import merlinlever.net.Loop;
import merlinlever.recovery.net.Rejoin;
import merlinlever.term.Terms;

/** One backend's part in who leads, on the loop and membership's datagrams; one for all that ask for a leader. */
public final class Leading implements Members.Hearer {

    private static final Duration LOOK = Duration.ofMillis(20);

    private final Loop loop;
    private final Rejoin rejoin;
    private final Terms terms;

    /** @param voters who may lead; the same everywhere */
    public Leading(
            Loop loop,
            Rejoin rejoin,
            List<String> voters,
            Duration lease,
            double drift,
            long seed,
            Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        terms = new Terms(
                loop.clock().uptime(),
                rejoin.members().views().self(),
                voters,
                lease,
                drift,
                rejoin.term(),
                rejoin::noted,
                new SplittableRandom(seed),
                log);
        rejoin.members().hears(Terms.WORDS, this);
        loop.every(LOOK, () -> say(terms.look(loop.clock().uptime())));
    }

    public Terms terms() {
        return terms;
    }

    private void say(List<Terms.Say> all) {
        all.forEach(each -> rejoin.members().say(each.to(), each.number(), each.what()));
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void said(String name, long number, String what) {
        say(terms.said(loop.clock().uptime(), name, number, what));
    }
}
