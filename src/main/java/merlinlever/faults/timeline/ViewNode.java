package merlinlever.faults.timeline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.election.LeaderElection;
import merlinlever.election.Leadership;
import merlinlever.membership.MemberTable;
import merlinlever.membership.SwimProtocol;
import merlinlever.view.ActionPermissions;
import merlinlever.view.GuardedAction;
import merlinlever.view.MembershipView;
import merlinlever.view.ViewManager;
import merlinlever.view.ViewSettings;

/** Who is there, in a play: membership, leadership and views together, as in a backend. A column is the address and, but for a {@code '}, the name. */
final class ViewNode implements Scenario.ScenarioNode<SwimProtocol.MembershipMessage> {

    /** What outlasts a life. */
    static final class SimulatedDisk {
        final Map<String, Long> terms = new TreeMap<>();
    }

    /** New views and what is said about terms; questions and answers that all is as it was are not drawn. */
    static final Scenario.MessageDescriber<SwimProtocol.MembershipMessage> WORDS = new Scenario.MessageDescriber<>() {
        @Override
        public String of(SwimProtocol.MembershipMessage message) {
            if (message.kind() == SwimProtocol.MessageKind.CARRY) {
                return body(new String(message.body(), StandardCharsets.US_ASCII).split("\n"));
            }
            return message.kind() == SwimProtocol.MessageKind.SAY
                            && LeaderElection.WORDS.contains(message.about().split("/")[0])
                    ? QuotaNode.WORDS.of(new QuotaNode.QuotaMessage(message.number(), message.about()))
                    : message.about();
        }

        @Override
        public Scenario.MessageVisibility show(SwimProtocol.MembershipMessage message) {
            return message.kind() == SwimProtocol.MessageKind.CARRY
                    ? Scenario.MessageVisibility.EFFECT_OR_LOST
                    : message.kind() == SwimProtocol.MessageKind.SAY
                                    && message.about().matches("[VP]/.*")
                            ? Scenario.MessageVisibility.EFFECT
                            : Scenario.MessageVisibility.NEVER;
        }
    };

    private final SwimProtocol members;
    private final LeaderElection terms;
    private final ViewManager sight;
    private Duration now;

    ViewNode(Scenario.NodeContext born, List<String> voters, SimulatedDisk disk) {
        now = born.now();
        String name = born.node().replace("'", "");
        long floor = disk.terms.getOrDefault(born.node(), 0L);
        members = new SwimProtocol(
                now,
                new MemberTable(name, born.node(), "-", born.life() - 1),
                SwimProtocol.SwimSettings.usual(voters),
                born.chance().split(),
                line -> {});
        terms = new LeaderElection(
                now,
                name,
                voters,
                Duration.ofSeconds(2),
                0.01,
                floor,
                term -> noted(disk, born.node(), term),
                born.chance().split(),
                line -> {});
        sight = new ViewManager(
                now,
                ViewSettings.usual(),
                members.views(),
                terms,
                (long) born.life() << 30,
                floor,
                term -> noted(disk, born.node(), term),
                born.chance().split(),
                line -> {});
        members.hears(LeaderElection.WORDS, (who, number, what) -> say(terms.said(now, who, number, what)));
        members.hears(ViewManager.WORDS, (who, number, what) -> tell(sight.said(now, who, number, what)));
        members.takes((who, body) -> sight.carried(now, who, body));
    }

    private static boolean noted(SimulatedDisk disk, String node, long term) {
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

    private void say(List<LeaderElection.PeerMessage> all) {
        all.forEach(each -> members.say(each.to(), each.number(), each.what()));
    }

    private void tell(List<ViewManager.ViewMessage> all) {
        for (ViewManager.ViewMessage each : all) {
            if (each.body() != null) {
                members.carry(each.to(), each.body());
            } else {
                members.say(each.to(), each.number(), each.what());
            }
        }
    }

    MembershipView view() {
        return sight.view();
    }

    boolean may(Duration at, GuardedAction act) {
        return sight.may(at, act) == ActionPermissions.Permission.YES;
    }

    boolean leads(Duration at) {
        return terms.leads(at);
    }

    @Override
    public List<Scenario.AddressedMessage<SwimProtocol.MembershipMessage>> look(Duration at) {
        now = at;
        List<Scenario.AddressedMessage<SwimProtocol.MembershipMessage>> out = new ArrayList<>();
        // As often as in a process, but at its own steps.
        if (at.toMillis() % 50 == 0) {
            say(terms.look(now));
            tell(sight.look(now));
        }
        members.settle(now)
                .forEach(sending -> out.add(new Scenario.AddressedMessage<>(sending.to(), sending.message())));
        return out;
    }

    @Override
    public List<Scenario.AddressedMessage<SwimProtocol.MembershipMessage>> heard(
            Duration at, String from, SwimProtocol.MembershipMessage message) {
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
