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

    /** Pings and their answers are drawn where they bring news or are lost; news are suspicions, deaths, new incarnations. */
    static final Play.Words<Members.Message> WORDS = new Play.Words<>() {
        @Override public String of(Members.Message message) {
            List<String> news = new ArrayList<>();
            switch (message.kind()) {
                case ASK_FOR -> news.add("ping " + message.about() + " for me");
                case SYNC -> news.add("all");
                case SYNC_BACK -> news.add("all back");
                case SAY -> news.add(message.about());
                default -> news.add(message.kind().name().toLowerCase(java.util.Locale.ROOT));
            }
            for (Views.Rumour rumour : message.rumours()) {
                if (rumour.status() != Views.Status.ALIVE || rumour.incarnation() > 0) {
                    news.add(told(rumour));
                }
            }
            return String.join(", ", news);
        }

        @Override public Play.Show show(Members.Message message) {
            return switch (message.kind()) {
                case ASK_FOR -> Play.Show.ALWAYS;
                case PING -> Play.Show.EFFECT_OR_LOST;
                default -> Play.Show.EFFECT;
            };
        }
    };

    private final Members members;

    MemberNode(Play.Born born, List<String> seeds) {
        String name = born.node().replace("'", "");
        members = new Members(born.now(), new Views(name, born.node(), "api-" + born.node(), 0), Members.Stated.usual(seeds), born.chance(), line -> { });
    }

    Members members() {
        return members;
    }

    /** The incarnation of its life, where it is not the first, behind. */
    static String told(Views.Rumour rumour) {
        return rumour.name() + " " + rumour.status().name().toLowerCase(java.util.Locale.ROOT) + (rumour.incarnation() == 0 ? "" : "/" + rumour.incarnation());
    }

    @Override public List<Play.Out<Members.Message>> look(Duration now) {
        List<Play.Out<Members.Message>> out = new ArrayList<>();
        members.settle(now).forEach(sending -> out.add(new Play.Out<>(sending.to(), sending.message())));
        return out;
    }

    @Override public List<Play.Out<Members.Message>> heard(Duration now, String from, Members.Message message) {
        members.heard(now, from, message);
        return look(now);
    }

    @Override public Map<String, String> believes(Duration now) {
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
