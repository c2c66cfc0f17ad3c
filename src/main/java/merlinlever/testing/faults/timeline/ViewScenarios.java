package merlinlever.testing.faults.timeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.view.GuardedAction;

/** Hard cases of who is there: all are voters, with the times that are usual. */
final class ViewScenarios {

    private static final List<String> THREE = List.of("b1", "b2", "b3"), FIVE = List.of("b1", "b2", "b3", "b4", "b5");
    private static final long BEGIN = 25_000;

    private ViewScenarios() {}

    /** They are whole when it begins; of one number there is one membership, and never may two who do not lead alike decide. */
    private static Scenario<MembershipMessage> play(long seed, List<String> names) {
        ViewNode.SimulatedDisk disk = new ViewNode.SimulatedDisk();
        Map<Long, String> digests = new HashMap<>();
        return new Scenario<>(seed, names, born -> new ViewNode(born, names, disk), ViewNode.WORDS)
                .never("one number, two memberships", p -> names.stream()
                        .anyMatch(name -> p.node(name) instanceof ViewNode node
                                && !digests.computeIfAbsent(node.view().number(), none -> node.view()
                                                .digest())
                                        .equals(node.view().digest())))
                .never(
                        "two may decide",
                        p -> names.stream()
                                        .filter(name -> p.node(name) instanceof ViewNode node
                                                && node.leads(p.clock(name))
                                                && node.may(p.clock(name), GuardedAction.DECIDE))
                                        .count()
                                > 1)
                .until(BEGIN)
                .begin();
    }

    private static String leader(Scenario<MembershipMessage> play) {
        return play.names().stream()
                .filter(name -> play.node(name) instanceof ViewNode node && node.leads(play.clock(name)))
                .findFirst()
                .orElseThrow();
    }

    private static List<String> others(Scenario<MembershipMessage> play, String... without) {
        List<String> others = new ArrayList<>(play.names());
        others.removeAll(List.of(without));
        return others;
    }

    static Timeline parted() {
        Scenario<MembershipMessage> play = play(1, THREE);
        play.at(
                        BEGIN + 500,
                        p -> p.partition(others(p, leader(p)).get(0) + " | " + leader(p) + " "
                                + others(p, leader(p)).get(1)))
                .at(BEGIN + 20_000, Scenario::heal)
                .until(BEGIN + 40_000);
        return play.timeline(
                """
                One of three is cut off
                Two of the three voters hear each other: MOST, and may go on. The third hears nobody: ALONE; it keeps the last view
                that it had. When the links are well it learns of the later view, and is let in again.""");
    }

    static Timeline leaderParted() {
        Scenario<MembershipMessage> play = play(2, THREE);
        play.at(BEGIN + 500, p -> p.partition(leader(p) + " | " + String.join(" ", others(p, leader(p)))))
                .at(BEGIN + 20_000, Scenario::heal)
                .until(BEGIN + 45_000);
        return play.timeline(
                """
                The one that leads is cut off
                It leads no longer when its promises run out, and numbers no view; the other two have a new leader, and a new term
                for the numbers of views, so no number is ever given twice.""");
    }

    static Timeline stoodStill() {
        Scenario<MembershipMessage> play = play(3, THREE);
        play.at(BEGIN + 500, p -> p.pause(others(p, leader(p)).get(0)))
                .at(BEGIN + 20_500, p -> p.resume(others(p, leader(p)).get(0)))
                .until(BEGIN + 40_000);
        return play.timeline(
                """
                One stands still for 20 s
                When it goes on it sees that its steady clock jumped: RETURNING, and it does nothing that hangs on the others until
                it has been told what it missed.""");
    }

    static Timeline oneWay() {
        Scenario<MembershipMessage> play = play(4, FIVE);
        play.at(BEGIN + 500, p -> p.cut("b1", "b2"))
                .at(BEGIN + 25_000, Scenario::heal)
                .until(BEGIN + 40_000);
        return play.timeline(
                """
                A one-way link among five
                What b1 says does not reach b2. The two hear no answers of each other, so neither is WHOLE; but nobody else finds
                either gone, so nobody is taken out.""");
    }

    static Timeline flapping() {
        Scenario<MembershipMessage> play = play(5, FIVE);
        for (int i = 0; i < 10; i++) {
            play.at(BEGIN + 500 + i * 2000L, p -> p.pause("b3")).at(BEGIN + 1500 + i * 2000L, p -> p.resume("b3"));
        }
        play.until(BEGIN + 30_000);
        return play.timeline(
                """
                One that stands still each other second
                b3 answers late each time, but it answers: nobody holds it gone, and its standing and the view stay as they are.
                A change for each stop would be twenty.""");
    }

    static Timeline bridge() {
        Scenario<MembershipMessage> play = play(6, FIVE);
        play.at(BEGIN + 500, p -> p.partition("b1 b2 | b4 b5"))
                .at(BEGIN + 25_000, Scenario::heal)
                .until(BEGIN + 45_000);
        return play.timeline(
                """
                Two sides, and one that both reach
                b1 b2 and b4 b5 do not reach each other; b3 reaches all. Each hears three of the five voters, so each side alone
                would have most. There is one leader, with the promises of its side and b3, and so one view, which b3 tells on.""");
    }

    static Timeline restarted() {
        Scenario<MembershipMessage> play = play(7, THREE);
        play.at(BEGIN + 500, p -> p.kill("b3"))
                .at(BEGIN + 1500, p -> p.start("b3"))
                .until(BEGIN + 20_000);
        return play.timeline(
                """
                Begun again under the same name
                b3 is back a second after it was killed. It holds no view before it knows that it is not one older than what its
                life before may have held.""");
    }
}
