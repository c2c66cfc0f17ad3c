package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.SwimSettings;

/** Membership in a play. Addresses are the columns; a column that ends on {@code '} is another under the same name. */
final class MembershipNode implements Scenario.ScenarioNode<MembershipMessage> {

    /** Pings are drawn where they bring news or are lost, and whatever else is of one of these kinds; news are what its hearer did not believe yet. */
    static Scenario.MessageDescriber<MembershipMessage> words(MessageKind... always) {
        return new Scenario.MessageDescriber<>() {
            @Override
            public String of(MembershipMessage message) {
                return switch (message.kind()) {
                    case PING_REQUEST -> "ping " + message.text() + " for me";
                    case SYNC -> "all I know";
                    case SYNC_REPLY -> "and all I know";
                    case NACK -> "no ack";
                    default -> message.kind().wireName();
                };
            }

            @Override
            public Scenario.MessageVisibility show(MembershipMessage message) {
                return List.of(always).contains(message.kind())
                        ? Scenario.MessageVisibility.ALWAYS
                        : message.kind() == MessageKind.PING_REQUEST
                                ? Scenario.MessageVisibility.SAID
                                : message.kind() == MessageKind.PING
                                        ? Scenario.MessageVisibility.EFFECT_OR_LOST
                                        : Scenario.MessageVisibility.EFFECT;
            }

            @Override
            public String news(MembershipMessage message, Map<String, String> believed) {
                List<String> news = new ArrayList<>();
                for (MemberRecord rumour : message.records()) {
                    // Of the hearer itself, what is not so; of others, what it did not know.
                    if (believed.containsKey(rumour.name())
                            ? !told(rumour).equals(believed.get(rumour.name())) && !mine(rumour, believed)
                            : rumour.status() != MemberStatus.ALIVE || rumour.incarnation() > 0) {
                        news.add(told(rumour));
                    }
                }
                return news.isEmpty() ? "" : ", " + NodeStateFormatter.together(news);
            }
        };
    }

    private static boolean mine(MemberRecord rumour, Map<String, String> believed) {
        return believed.get(rumour.name()).equals("I am alive/" + rumour.incarnation())
                && rumour.status() == MemberStatus.ALIVE;
    }

    private final SwimProtocol members;

    MembershipNode(Scenario.NodeContext born, List<String> seeds) {
        String name = born.node().replace("'", "");
        members = new SwimProtocol(
                born.now(),
                new MemberTable(name, born.node(), "api-" + born.node(), 0),
                SwimSettings.defaults(seeds),
                born.chance(),
                line -> {});
    }

    SwimProtocol members() {
        return members;
    }

    /** The incarnation of its life, where it is not the first, behind. */
    static String told(MemberRecord rumour) {
        return rumour.name() + " " + rumour.status().wireName()
                + (rumour.incarnation() == 0 ? "" : "/" + rumour.incarnation())
                + (rumour.gossipAddress().equals(rumour.name()) ? "" : " at " + rumour.gossipAddress());
    }

    @Override
    public List<Scenario.AddressedMessage<MembershipMessage>> look(Duration now) {
        List<Scenario.AddressedMessage<MembershipMessage>> out = new ArrayList<>();
        members.tick(now)
                .forEach(sending -> out.add(new Scenario.AddressedMessage<>(sending.address(), sending.message())));
        return out;
    }

    @Override
    public List<Scenario.AddressedMessage<MembershipMessage>> heard(
            Duration now, String from, MembershipMessage message) {
        members.receive(now, from, message);
        // What it answers it says when it is looked at, in the same moment; what its own time brings is not the other's
        // doing.
        return List.of();
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        for (MemberRecord rumour : members.memberTable().records()) {
            if (!rumour.name().equals(members.memberTable().self())) {
                all.put(rumour.name(), told(rumour));
            } else if (rumour.incarnation() > 0) {
                all.put(rumour.name(), "I am alive/" + rumour.incarnation());
            }
        }
        return all;
    }
}
