package merlinlever.view.net;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.members.Members;
import merlinlever.net.Loop;
import merlinlever.recovery.net.Rejoin;
import merlinlever.term.Terms;
import merlinlever.view.Seen;
import merlinlever.view.Sight;
import merlinlever.view.Stated;

/** One backend's sight of the fleet, on the loop and membership's datagrams. */
public final class Viewing implements Members.Hearer, Members.Carried {

    private static final Duration LOOK = Duration.ofMillis(50);

    private final Loop loop;
    private final Rejoin rejoin;
    private final Sight sight;

    /**
     * @param terms who leads; the one of this process
     * @param life a number that no other life of this backend comes near, later ones higher
     * @param log one line at each change of the standing or the view, and where voters hold another
     */
    public Viewing(Loop loop, Rejoin rejoin, Terms terms, Stated stated, long life, long seed, Consumer<String> log) {
        this.loop = loop;
        this.rejoin = rejoin;
        // The term of this moment, before this life votes on any: what its lives before may have held.
        sight = new Sight(
                loop.clock().uptime(),
                stated,
                rejoin.members().views(),
                terms,
                life,
                rejoin.term(),
                rejoin::noted,
                new SplittableRandom(seed),
                log);
        rejoin.members().hears(Sight.WORDS, this);
        rejoin.members().takes(this);
        loop.every(LOOK, () -> say(sight.look(loop.clock().uptime())));
    }

    /** For those who depend on the others. */
    public Seen seen() {
        return sight;
    }

    private void say(List<Sight.Say> all) {
        for (Sight.Say each : all) {
            if (each.body() != null) {
                rejoin.members().carry(each.to(), each.body());
            } else {
                rejoin.members().say(each.to(), each.number(), each.what());
            }
        }
        if (!all.isEmpty()) {
            rejoin.send();
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

    /** See {@link Sight#json}. */
    public String json() {
        return sight.json(loop.clock().uptime());
    }
}
