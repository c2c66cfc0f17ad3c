package merlinlever.faults.timeline;

import java.util.List;
import merlinlever.members.Members;

/** Hard cases of membership. */
final class MemberPlays {

    private static final List<String> THREE = List.of("b1", "b2", "b3"), FOUR = List.of("b1", "b2", "b3", "b4");

    private MemberPlays() {
    }

    /** They know each other when it begins. */
    private static Play<Members.Message> play(long seed, List<String> names) {
        return new Play<>(seed, names, born -> new MemberNode(born, List.of("b1", "b2")), MemberNode.WORDS).until(12_000).begin();
    }

    static Timeline death() {
        Play<Members.Message> play = play(1, FOUR);
        play.at(12_500, p -> p.kill("b3")).until(40_000);
        return play.timeline("""
                A death
                b3 is killed. Whoever pings it asks the others to ping it too; nobody hears it, so it is suspected, and the more
                say so, the sooner it is held dead. b2 alone is never enough: the suspicion waits for b3's own word first.""");
    }

    static Timeline refutation() {
        Play<Members.Message> play = play(2, FOUR);
        play.at(12_500, p -> p.pause("b3")).at(16_000, p -> p.resume("b3")).until(24_000);
        return play.timeline("""
                A suspicion refuted
                b3 stands still for 3.5 s. When it goes on it hears that it is suspected and says that it lives under its next
                incarnation, which counts more than all that was said of the one before.""");
    }

    static Timeline oneWay() {
        Play<Members.Message> play = play(3, FOUR);
        play.at(12_500, p -> p.cut("b1", "b2")).at(30_000, Play::heal).until(40_000);
        return play.timeline("""
                A one-way link
                What b1 says does not reach b2; the other way is well. b1 hears no answer, but b3 and b4 ping b2 for it and bring
                the answer back: nobody is suspected for long.""");
    }

    static Timeline restart() {
        Play<Members.Message> play = play(4, THREE);
        play.at(12_500, p -> p.kill("b3")).at(13_000, p -> p.start("b3")).until(24_000);
        return play.timeline("""
                Begun again under the same name
                b3 is killed and begins again 500 ms later, knowing nobody and under incarnation 0 like its life before.""");
    }

    static Timeline twins() {
        Play<Members.Message> play = new Play<>(5, List.of("b1", "b2", "b2'"), born -> new MemberNode(born, List.of("b1", "b2")), MemberNode.WORDS);
        play.until(12_000).begin();
        play.at(12_500, p -> p.start("b2'")).until(17_000);
        return play.timeline("""
                Two under one name
                Another b2 is started by mistake, on another address. Each hears of the other's life and answers with a higher
                incarnation, without end: that is how both notice (Views.rivals), and are stopped from outside.""");
    }

    static Timeline healed() {
        Play<Members.Message> play = play(6, FOUR);
        play.at(12_500, p -> p.partition(List.of("b1", "b2"), List.of("b3", "b4"))).at(60_000, Play::heal).until(95_000);
        return play.timeline("""
                Two halves that hold each other dead find each other again
                Each half comes to hold the other dead, and nobody pings the dead. Every ten periods one tells another all that it
                believes, a dead one too: so the halves meet, and each of the dead says that it lives.""");
    }
}
