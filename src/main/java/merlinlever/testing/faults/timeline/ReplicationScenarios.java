package merlinlever.testing.faults.timeline;

import java.util.List;
import java.util.TreeMap;
import merlinlever.fleet.replication.ReplicatedStore;

/** Hard cases of what all know in common. Here each tells one other a new word each 500 ms, and compares with one other. */
final class ReplicationScenarios {

    private static final List<String> THREE = List.of("b1", "b2", "b3"), TWINS = List.of("b1", "b1'", "b2", "b3");

    private ReplicationScenarios() {}

    private static Scenario<byte[]> play(long seed, List<String> names) {
        TreeMap<String, ReplicatedStore.PersistedEntries> disk = new TreeMap<>();
        return new Scenario<>(seed, names, born -> new ReplicationNode(born, names, disk), ReplicationNode.WORDS);
    }

    private static void put(Scenario<byte[]> play, String name, String value) {
        play.note(name, "! is told to say " + value);
        ((ReplicationNode) play.node(name)).put(play.clock(name), value);
    }

    private static void remove(Scenario<byte[]> play, String name) {
        play.note(name, "! is told to take it back");
        ((ReplicationNode) play.node(name)).remove(play.clock(name));
    }

    static Timeline missed() {
        return play(1, THREE)
                .at(1000, p -> p.partition("b1 b2 | b3"))
                .at(1100, p -> put(p, "b1", "x"))
                .at(4000, Scenario::heal)
                .until(7000)
                .timeline(
                        """
                A word that was missed
                b1's word does not reach b3, and new words are told for two periods alone. Each period one other is told sums of
                all that is held (not drawn); they differ once the links are well, and what differs is asked for and given.""");
    }

    static Timeline takenBack() {
        return play(2, THREE)
                .at(500, p -> put(p, "b1", "x"))
                .at(3000, p -> p.partition("b1 b2 | b3"))
                .at(3500, p -> remove(p, "b1"))
                .at(6000, Scenario::heal)
                .until(9000)
                .timeline(
                        """
                A word taken back does not come back
                b3 still holds what b1 took back while b3 was cut off. When they compare, the later version counts: what was taken
                back is a word too, so b3 learns of it and does not bring the old one back.""");
    }

    static Timeline clash() {
        return play(3, TWINS)
                .at(10, p -> p.partition("b1 b2 | b1' b3"))
                .at(20, p -> p.start("b1'"))
                .at(500, p -> put(p, "b1", "x"))
                .at(600, p -> put(p, "b1'", "y"))
                .at(4000, Scenario::heal)
                .until(7000)
                .timeline(
                        """
                One version, claimed twice
                Two backends run under the name b1 by mistake, and each says another thing under version 1.1. Whoever hears of
                both takes neither; all come to know of it, in whatever order they heard.""");
    }

    static Timeline overtaken() {
        return play(4, THREE)
                .at(500, p -> put(p, "b1", "x"))
                .at(1500, p -> put(p, "b1", "y"))
                .at(3000, p -> p.kill("b1"))
                .at(3500, p -> p.start("b1"))
                .at(3600, p -> put(p, "b1", "z"))
                .until(7000)
                .timeline(
                        """
                A new life that has lost its disk
                b1 begins again knowing nothing and says z under version 1.1, where the others hold y under 1.2 already. It hears
                what it is held to have said, and says its own again under a higher incarnation.""");
    }
}
