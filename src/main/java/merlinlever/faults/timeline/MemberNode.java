package merlinlever.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.members.Members;
import merlinlever.members.Views;

/** Membership in a play. Addresses are the columns; a column that ends on {@code '} is another under the same name. */
final class MemberNode implements Play.Node<Members.Message> {

    /** Pings are drawn where they bring news or are lost, and whatever else is of one of these kinds; news are what its hearer did not believe yet. */
    static Play.Words<Members.Message> words(Members.Kind... always) {
        return new Play.Words<>() {
            @Override
            public String of(Members.Message message) {
                return switch (message.kind()) {
                    case ASK_FOR -> "ping " + message.about() + " for me";
                    case SYNC -> "all I know";
                    case SYNC_BACK -> "and all I know";
                    case NACK -> "no ack";
                    default -> message.kind().wireName();
                };
            }

            @Override
            public Play.Show show(Members.Message message) {
                return List.of(always).contains(message.kind())
                        ? Play.Show.ALWAYS
                        : message.kind() == Members.Kind.ASK_FOR
                                ? Play.Show.SAID
                                : message.kind() == Members.Kind.PING ? Play.Show.EFFECT_OR_LOST : Play.Show.EFFECT;
            }

            @Override
            public String news(Members.Message message, Map<String, String> believed) {
                List<String> news = new ArrayList<>();
                for (Views.Rumour rumour : message.rumours()) {
                    // Of the hearer itself, what is not so; of others, what it did not know.
                    if (believed.containsKey(rumour.name())
                            ? !told(rumour).equals(believed.get(rumour.name())) && !mine(rumour, believed)
                            : rumour.status() != Views.Status.ALIVE || rumour.incarnation() > 0) {
                        news.add(told(rumour));
                    }
                }
                return news.isEmpty() ? "" : ", " + Beliefs.together(news);
            }
        };
    }

    private static boolean mine(Views.Rumour rumour, Map<String, String> believed) {
        return believed.get(rumour.name()).equals("I am alive/" + rumour.incarnation())
                && rumour.status() == Views.Status.ALIVE;
    }

    private final Members members;

    MemberNode(Play.Born born, List<String> seeds) {
        String name = born.node().replace("'", "");
        members = new Members(
                born.now(),
                new Views(name, born.node(), "api-" + born.node(), 0),
                Members.Stated.usual(seeds),
                born.chance(),
                line -> {});
    }

    Members members() {
        return members;
    }

    /** The incarnation of its life, where it is not the first, behind. */
    static String told(Views.Rumour rumour) {
        return rumour.name() + " " + rumour.status().wireName()
                + (rumour.incarnation() == 0 ? "" : "/" + rumour.incarnation())
                + (rumour.gossip().equals(rumour.name()) ? "" : " at " + rumour.gossip());
    }

    @Override
    public List<Play.Out<Members.Message>> look(Duration now) {
        List<Play.Out<Members.Message>> out = new ArrayList<>();
        members.settle(now).forEach(sending -> out.add(new Play.Out<>(sending.to(), sending.message())));
        return out;
    }

    @Override
    public List<Play.Out<Members.Message>> heard(Duration now, String from, Members.Message message) {
        members.heard(now, from, message);
        // What it answers it says when it is looked at, in the same moment; what its own time brings is not the other's
        // doing.
        return List.of();
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        for (Views.Rumour rumour : members.views().all()) {
            if (!rumour.name().equals(members.views().self())) {
                all.put(rumour.name(), told(rumour));
            } else if (rumour.incarnation() > 0) {
                all.put(rumour.name(), "I am alive/" + rumour.incarnation());
            }
        }
        return all;
    }
}
