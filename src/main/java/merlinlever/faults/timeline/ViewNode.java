package merlinlever.faults.timeline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.members.Members;
import merlinlever.members.Views;
import merlinlever.term.Leadership;
import merlinlever.term.Terms;
import merlinlever.view.Act;
import merlinlever.view.Permits;
import merlinlever.view.Sight;
import merlinlever.view.Stated;
import merlinlever.view.View;

/** Who is there, in a play: membership, leadership and views together, as in a backend. A column is the address and, but for a {@code '}, the name. */
final class ViewNode implements Play.Node<Members.Message> {

    /** What outlasts a life. */
    static final class Disk {
        final Map<String, Long> terms = new TreeMap<>();
    }

    /** New views and what is said about terms; questions and answers that all is as it was are not drawn. */
    static final Play.Words<Members.Message> WORDS = new Play.Words<>() {
        @Override
        public String of(Members.Message message) {
            if (message.kind() == Members.Kind.CARRY) {
                return body(new String(message.body(), StandardCharsets.US_ASCII).split("\n"));
            }
            return message.kind() == Members.Kind.SAY
                            && Terms.WORDS.contains(message.about().split("/")[0])
                    ? BudgetNode.WORDS.of(new BudgetNode.Word(message.number(), message.about()))
                    : message.about();
        }

        @Override
        public Play.Show show(Members.Message message) {
            return message.kind() == Members.Kind.CARRY
                    ? Play.Show.EFFECT_OR_LOST
                    : message.kind() == Members.Kind.SAY && message.about().matches("[VP]/.*")
                            ? Play.Show.EFFECT
                            : Play.Show.NEVER;
        }
    };

    private final Members members;
    private final Terms terms;
    private final Sight sight;
    private Duration now;

    ViewNode(Play.Born born, List<String> voters, Disk disk) {
        now = born.now();
        String name = born.node().replace("'", "");
        long floor = disk.terms.getOrDefault(born.node(), 0L);
        members = new Members(
                now,
                new Views(name, born.node(), "-", born.life() - 1),
                Members.Stated.usual(voters),
                born.chance().split(),
                line -> {});
        terms = new Terms(
                now,
                name,
                voters,
                Duration.ofSeconds(2),
                0.01,
                floor,
                term -> noted(disk, born.node(), term),
                born.chance().split(),
                line -> {});
        sight = new Sight(
                now,
                Stated.usual(),
                members.views(),
                terms,
                (long) born.life() << 30,
                floor,
                term -> noted(disk, born.node(), term),
                born.chance().split(),
                line -> {});
        members.hears(Terms.WORDS, (who, number, what) -> say(terms.said(now, who, number, what)));
        members.hears(Sight.WORDS, (who, number, what) -> tell(sight.said(now, who, number, what)));
        members.takes((who, body) -> sight.carried(now, who, body));
    }

    private static boolean noted(Disk disk, String node, long term) {
        disk.terms.merge(node, term, Math::max);
        return true;
    }

    private static String body(String[] line) {
        long number = Long.parseLong(line[1], 36);
        List<String> names = new ArrayList<>();
        char last = line[3].equals("0") ? '+' : ' ';
        for (String name : List.of(line).subList(4, line.length)) {
            names.add((name.charAt(0) == last ? "" : name.charAt(0) == '+' ? "with " : "without ") + name.substring(1));
            last = name.charAt(0);
        }
        return "view " + place(number) + ": " + (names.isEmpty() ? "the same as before" : String.join(" ", names));
    }

    private static String place(long number) {
        return (number >> 20) + "." + (number & 0xfffff);
    }

    private void say(List<Terms.Say> all) {
        all.forEach(each -> members.say(each.to(), each.number(), each.what()));
    }

    private void tell(List<Sight.Say> all) {
        for (Sight.Say each : all) {
            if (each.body() != null) {
                members.carry(each.to(), each.body());
            } else {
                members.say(each.to(), each.number(), each.what());
            }
        }
    }

    View view() {
        return sight.view();
    }

    boolean may(Duration at, Act act) {
        return sight.may(at, act) == Permits.May.YES;
    }

    boolean leads(Duration at) {
        return terms.leads(at);
    }

    @Override
    public List<Play.Out<Members.Message>> look(Duration at) {
        now = at;
        List<Play.Out<Members.Message>> out = new ArrayList<>();
        // As often as in a process, but at its own steps.
        if (at.toMillis() % 50 == 0) {
            say(terms.look(now));
            tell(sight.look(now));
        }
        members.settle(now).forEach(sending -> out.add(new Play.Out<>(sending.to(), sending.message())));
        return out;
    }

    @Override
    public List<Play.Out<Members.Message>> heard(Duration at, String from, Members.Message message) {
        now = at;
        members.heard(now, from, message);
        return List.of();
    }

    @Override
    public Map<String, String> believes(Duration at) {
        Map<String, String> all = new LinkedHashMap<>();
        Leadership.Leader leader = terms.leader(at);
        all.put("standing", sight.standing(at).wireName().toUpperCase(java.util.Locale.ROOT));
        all.put(
                "view",
                sight.view().number() == 0
                        ? "no view"
                        : "view " + place(sight.view().number()) + ": "
                                + String.join(" ", sight.view().members()));
        all.put("leader", terms.leads(at) ? "I lead, term " + leader.term() : "");
        return all;
    }
}
