package merlinlever.testing.faults.timeline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.SwimSettings;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.GuardedAction;
import merlinlever.fleet.view.MembershipView;
import merlinlever.fleet.view.ViewManager;
import merlinlever.fleet.view.ViewSettings;

/** Who is there, in a play: membership, leadership and views together, as in a backend. A column is the address and, but for a {@code '}, the name. */
final class ViewNode implements Scenario.ScenarioNode<MembershipMessage> {

    /** What outlasts a life. */
    static final class SimulatedDisk {
        final Map<String, Long> terms = new TreeMap<>();
    }

    /** New views and what is said about terms; questions and answers that all is as it was are not drawn. */
    static final Scenario.MessageDescriber<MembershipMessage> WORDS = new Scenario.MessageDescriber<>() {
        @Override
        public String of(MembershipMessage message) {
            if (message.kind() == MessageKind.PAYLOAD) {
                return body(new String(message.payload(), StandardCharsets.US_ASCII).split("\n"));
            }
            return message.kind() == MessageKind.TEXT
                            && LeaderElection.MESSAGE_TYPES.contains(
                                    message.text().split("/")[0])
                    ? QuotaNode.WORDS.of(new QuotaNode.QuotaMessage(message.correlationId(), message.text()))
                    : message.text();
        }

        @Override
        public Scenario.MessageVisibility show(MembershipMessage message) {
            return message.kind() == MessageKind.PAYLOAD
                    ? Scenario.MessageVisibility.EFFECT_OR_LOST
                    : message.kind() == MessageKind.TEXT && message.text().matches("[VP]/.*")
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
                SwimSettings.defaults(voters),
                born.chance().split(),
                line -> {});
        terms = new LeaderElection(
                now,
                name,
                new ElectionSettings(voters, Duration.ofSeconds(2), 0.01),
                floor,
                term -> noted(disk, born.node(), term),
                born.chance().split(),
                line -> {});
        sight = new ViewManager(
                now,
                new ViewManager.Setup(
                        ViewSettings.defaults(),
                        (long) born.life() << 30,
                        floor,
                        term -> noted(disk, born.node(), term),
                        born.chance().split(),
                        line -> {}),
                members.memberTable(),
                terms);
        members.addTextHandler(
                LeaderElection.MESSAGE_TYPES, (who, number, what) -> say(terms.receive(now, who, number, what)));
        members.addTextHandler(
                ViewManager.MESSAGE_TYPES, (who, number, what) -> say(sight.receive(now, who, number, what)));
        members.addPayloadHandler((who, body) -> sight.receivePayload(now, body));
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

    private void say(List<? extends PeerMessage> all) {
        all.forEach(members::send);
    }

    MembershipView view() {
        return sight.view();
    }

    boolean may(Duration at, GuardedAction act) {
        return sight.permission(at, act) == ActionPermissions.Permission.ALLOWED;
    }

    boolean leads(Duration at) {
        return terms.isLeader(at);
    }

    @Override
    public List<Scenario.AddressedMessage<MembershipMessage>> look(Duration at) {
        now = at;
        List<Scenario.AddressedMessage<MembershipMessage>> out = new ArrayList<>();
        // As often as in a process, but at its own steps.
        if (at.toMillis() % 50 == 0) {
            say(terms.tick(now));
            say(sight.tick(now));
        }
        members.tick(now)
                .forEach(sending -> out.add(new Scenario.AddressedMessage<>(sending.address(), sending.message())));
        return out;
    }

    @Override
    public List<Scenario.AddressedMessage<MembershipMessage>> heard(
            Duration at, String from, MembershipMessage message) {
        now = at;
        members.receive(now, from, message);
        return List.of();
    }

    @Override
    public Map<String, String> believes(Duration at) {
        Map<String, String> all = new LinkedHashMap<>();
        Leadership.Leader leader = terms.leader(at).orElse(null);
        all.put("standing", sight.status(at).wireName().toUpperCase(java.util.Locale.ROOT));
        all.put(
                "view",
                sight.view().number() == 0
                        ? "no view"
                        : "view " + place(sight.view().number()) + ": "
                                + String.join(" ", sight.view().members()));
        all.put("leader", terms.isLeader(at) ? "I lead, term " + leader.term() : "");
        return all;
    }
}
