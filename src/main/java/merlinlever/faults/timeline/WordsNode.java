package merlinlever.faults.timeline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.shared.Carry;
import merlinlever.shared.Common;
import merlinlever.shared.Spoken;
import merlinlever.shared.Words;

/** What is known in common, in a play: all words on one topic. A column that ends on {@code '} speaks under the name before that. */
final class WordsNode implements Play.Node<byte[]> {

    static final String TOPIC = "route";

    /** Sums are not drawn; what follows from them is. */
    static final Play.Words<byte[]> WORDS = new Play.Words<>() {
        @Override
        public String of(byte[] body) {
            return Spoken.of(body).what();
        }

        @Override
        public Play.Show show(byte[] body) {
            return switch (Spoken.of(body).kind()) {
                case SUMS -> Play.Show.NEVER;
                case VERSIONS, WANT -> Play.Show.SAID;
                default -> Play.Show.EFFECT_OR_LOST;
            };
        }
    };

    private final Words words;
    private final List<String> owners;
    /** Who said something once. */
    private final Set<String> spoke = new TreeSet<>();

    /** @param disk what each life leaves to the next; null where nothing is kept */
    WordsNode(Play.Born born, List<String> all, Map<String, Words.Kept> disk) {
        String name = born.node().replace("'", "");
        owners = all.stream().map(each -> each.replace("'", "")).distinct().toList();
        List<String> others =
                all.stream().filter(each -> !each.equals(born.node())).toList();
        Words.Stated stated = new Words.Stated(Duration.ofMillis(500), 1, Duration.ofHours(24), 512 << 10, false);
        words = new Words(
                born.now(),
                name,
                0,
                disk.getOrDefault(born.node(), Words.Kept.NOTHING),
                stated,
                () -> others,
                born.chance(),
                line -> {
                    // That a word was claimed twice is drawn as what is believed.
                    if (!line.contains("claimed twice")) {
                        born.notes().accept(line);
                    }
                });
    }

    void put(Duration now, String value) {
        words.put(now, TOPIC, value.getBytes(StandardCharsets.UTF_8));
    }

    void remove(Duration now) {
        words.remove(now, TOPIC);
    }

    private static List<Play.Out<byte[]>> out(List<Carry> all) {
        return all.stream()
                .map(carry -> new Play.Out<>(carry.to(), carry.body()))
                .toList();
    }

    @Override
    public List<Play.Out<byte[]>> look(Duration now) {
        return out(words.look(now));
    }

    @Override
    public List<Play.Out<byte[]>> heard(Duration now, String from, byte[] body) {
        return out(words.came(now, from, body));
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        Map<String, Common.Clash> clashes = new TreeMap<>();
        words.clashes().forEach(clash -> clashes.put(clash.owner(), clash));
        for (String owner : owners) {
            all.put(
                    owner,
                    clashes.containsKey(owner)
                            ? owner + " claims two things"
                            : words.of(owner, TOPIC)
                                    .map(its -> owner + " says " + new String(its.value(), StandardCharsets.UTF_8)
                                            + " (" + its.incarnation() + "." + its.sequence() + ")")
                                    .orElse(spoke.contains(owner) ? owner + " says nothing" : ""));
            if (words.of(owner, TOPIC).isPresent()) {
                spoke.add(owner);
            }
        }
        return all;
    }
}
