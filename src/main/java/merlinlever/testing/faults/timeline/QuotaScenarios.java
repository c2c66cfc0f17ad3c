package merlinlever.testing.faults.timeline;

import java.util.List;
import java.util.TreeMap;
import merlinlever.testing.faults.timeline.QuotaNode.QuotaMessage;

/** Hard cases of leadership, and of a limit of the whole fleet (12 calls a second; leases of 2 s) that each would use 8 of. */
final class QuotaScenarios {

    private static final List<String> THREE = List.of("b1", "b2", "b3");

    private QuotaScenarios() {}

    private static Scenario<QuotaMessage> play(long seed) {
        TreeMap<String, Long> disk = new TreeMap<>();
        Scenario<QuotaMessage> play =
                new Scenario<>(seed, THREE, born -> new QuotaNode(born, THREE, disk, 8), QuotaNode.WORDS);
        play.never(
                "two lead", p -> THREE.stream().filter(name -> leads(p, name)).count() > 1);
        play.never(
                "more is held than there is",
                p -> THREE.stream()
                                .mapToLong(
                                        name -> p.node(name) instanceof QuotaNode node ? node.share(p.clock(name)) : 0)
                                .sum()
                        > QuotaNode.BUDGET.limit());
        return play;
    }

    private static boolean leads(Scenario<QuotaMessage> play, String name) {
        return play.node(name) instanceof QuotaNode node && node.leads(play.clock(name));
    }

    private static String leader(Scenario<QuotaMessage> play) {
        return THREE.stream().filter(name -> leads(play, name)).findFirst().orElseThrow();
    }

    static Timeline first() {
        return play(1).until(7000)
                .timeline(
                        """
                The first leader, and shares from an empty book
                A voter that has just begun may have promised anything before: it waits a whole lease. A new leader gives nothing
                that is not renewed until all that leaders before it may have given has run out.""");
    }

    static Timeline killed() {
        Scenario<QuotaMessage> play = play(1).until(9000).begin();
        play.at(9200, p -> p.kill(leader(p))).until(18_000);
        return play.timeline(
                """
                The leader is killed while it grants
                What the others hold is spent until its lease runs out, and they hold to their promises as long. Then one of them
                leads under a higher term; it gives no more than what they still hold until it is sure that nothing is out.""");
    }

    static Timeline parted() {
        Scenario<QuotaMessage> play = play(1).until(9000).begin();
        play.at(
                        9200,
                        p -> p.partition(leader(p) + " | "
                                + String.join(
                                        " ",
                                        THREE.stream()
                                                .filter(name -> !name.equals(leader(p)))
                                                .toList())))
                .at(19_000, Scenario::heal)
                .until(22_000);
        return play.timeline(
                """
                The leader alone on one side, two voters on the other
                It cannot renew its promises, so it leads no longer before anybody else may; its share runs out with its lease.
                It stands for terms that nobody promises, itself neither; so it can promise the next one once the links are well.""");
    }

    static Timeline paused() {
        Scenario<QuotaMessage> play = play(1).until(9000).begin();
        String[] who = new String[1];
        play.at(9200, p -> {
                    who[0] = leader(p);
                    p.pause(who[0]);
                })
                .at(17_000, p -> p.resume(who[0]))
                .until(20_000);
        return play.timeline(
                """
                The leader stands still past its lease
                When it goes on its steady clock tells it that it leads no longer, before it does anything else. What was asked
                of it meanwhile is not granted.""");
    }

    static Timeline lostPromises() {
        Scenario<QuotaMessage> play = play(2);
        play.at(0, p -> {
                    for (String voter : List.of("b1", "b3")) {
                        p.link(
                                voter,
                                "b2",
                                merlinlever.testing.faults.link.LinkFaults.LinkFault.CUT,
                                "nothing from " + voter + " reaches b2");
                    }
                })
                .at(6000, Scenario::heal)
                .until(11_000);
        return play.timeline(
                """
                Promises that are lost
                b2 asks for promises and is given them, but the answers are lost: it does not lead, promises itself nothing, and
                the others keep their promise to it for a lease. Nobody leads until somebody has two that it can count.""");
    }

    static Timeline restarted() {
        Scenario<QuotaMessage> play = play(1).until(9000).begin();
        String[] who = new String[1];
        play.at(9200, p -> {
                    who[0] = leader(p);
                    p.kill(who[0]);
                    THREE.stream()
                            .filter(name -> !name.equals(who[0]))
                            .findFirst()
                            .ifPresent(p::kill);
                })
                .at(
                        9300,
                        p -> THREE.stream().filter(name -> p.node(name) == null).forEach(p::start))
                .until(16_000);
        return play.timeline(
                """
                Two of three voters begin again at once, the leader among them
                Both have the last term on their disks and wait a whole lease before they promise anything, so the next term is a
                higher one, and begins when nothing of the last can hold any more.""");
    }
}
