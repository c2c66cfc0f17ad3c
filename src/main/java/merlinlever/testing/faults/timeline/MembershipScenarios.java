package merlinlever.testing.faults.timeline;

import java.util.List;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;

/** Hard cases of membership. */
final class MembershipScenarios {

    private static final List<String> THREE = List.of("b1", "b2", "b3"), FOUR = List.of("b1", "b2", "b3", "b4");

    private MembershipScenarios() {}

    /** They know each other when it begins. */
    private static Scenario<MembershipMessage> play(long seed, List<String> names, MessageKind... always) {
        return new Scenario<>(
                        seed,
                        names,
                        born -> new MembershipNode(born, List.of("b1", "b2")),
                        MembershipNode.words(always))
                .until(12_000)
                .begin();
    }

    static Timeline death() {
        Scenario<MembershipMessage> play = play(1, FOUR);
        play.at(12_500, p -> p.kill("b3")).until(40_000);
        return play.timeline(
                """
                A death
                b3 is killed. Whoever pings it and hears nothing asks the others to ping it too; then it suspects b3 and says so.
                Each who found the same makes it surer: with two, a suspicion that b3 does not refute is a death after 4 s.""");
    }

    static Timeline refutation() {
        Scenario<MembershipMessage> play = play(2, FOUR);
        play.at(12_500, p -> p.pause("b3")).at(16_000, p -> p.resume("b3")).until(24_000);
        return play.timeline(
                """
                A suspicion refuted
                b3 stands still for 3.5 s. When it goes on it hears that it is suspected and says that it lives under its next
                incarnation (alive/1), which counts more than all that was said of the one before.""");
    }

    static Timeline oneWay() {
        Scenario<MembershipMessage> play = play(3, FOUR, MessageKind.PING, MessageKind.ACK);
        play.until(12_990).begin().at(12_990, p -> p.cut("b1", "b2")).until(13_400);
        return play.timeline(
                """
                A one-way link
                What b1 says does not reach b2; the other way is well. b1 has no answer to its ping, so b3 and b4 ping b2 for it
                and bring the answer back: b2 is not suspected. All pings of one period are drawn.""");
    }

    static Timeline restart() {
        Scenario<MembershipMessage> play = play(4, THREE);
        play.at(12_500, p -> p.kill("b3")).at(21_000, p -> p.start("b3")).until(30_000);
        return play.timeline(
                """
                Begun again under the same name
                b3 is held dead when it begins again, knowing nobody, under incarnation 0 like its life before. It asks for all
                that b1 and b2 know, hears that it is dead, and says better under incarnation 1.""");
    }

    static Timeline twins() {
        Scenario<MembershipMessage> play = new Scenario<>(
                5,
                List.of("b1", "b2", "b2'"),
                born -> new MembershipNode(born, List.of("b1", "b2")),
                MembershipNode.words());
        play.until(12_000).begin();
        play.at(12_500, p -> p.start("b2'")).until(17_000);
        return play.timeline(
                """
                Two under one name
                Another b2 is started by mistake, on another address (b2'). Each hears of the other's life and answers with a
                higher incarnation, without end; b1 holds now the one for b2, now the other. Both count it (MemberTable.addressConflicts).""");
    }

    static Timeline healed() {
        Scenario<MembershipMessage> play = play(6, FOUR);
        play.at(12_500, p -> p.partition("b1 b2 | b3 b4"))
                .until(60_000)
                .begin()
                .at(60_500, Scenario::heal)
                .until(95_000);
        return play.timeline(
                """
                Two halves that hold each other dead find each other again
                The links between b1 b2 and b3 b4 were cut for 48 s. Nobody pings the dead; but every ten periods each tells another
                all that it knows, a dead one too. So the halves meet, and each of the dead says that it lives.""");
    }
}
