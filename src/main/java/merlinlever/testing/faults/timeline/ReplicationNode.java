package merlinlever.testing.faults.timeline;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.fleet.replication.MessageFormatter;
import merlinlever.fleet.replication.OutgoingMessage;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.SharedStore;

/** What is known in common, in a play: all words on one topic. A column that ends on {@code '} speaks under the name before that. */
final class ReplicationNode implements Scenario.ScenarioNode<byte[]> {

    static final String TOPIC = "route";

    /** Sums are not drawn; what follows from them is. */
    static final Scenario.MessageDescriber<byte[]> WORDS = new Scenario.MessageDescriber<>() {
        @Override
        public String of(byte[] body) {
            return MessageFormatter.format(body).text();
        }

        @Override
        public Scenario.MessageVisibility show(byte[] body) {
            return switch (MessageFormatter.format(body).kind()) {
                case CHECKSUMS -> Scenario.MessageVisibility.NEVER;
                case VERSIONS, REQUEST -> Scenario.MessageVisibility.SAID;
                default -> Scenario.MessageVisibility.EFFECT_OR_LOST;
            };
        }
    };

    private final ReplicatedStore words;
    private final List<String> owners;
    /** Who said something once. */
    private final Set<String> spoke = new TreeSet<>();

    /** @param disk what each life leaves to the next; null where nothing is kept */
    ReplicationNode(Scenario.NodeContext born, List<String> all, Map<String, ReplicatedStore.PersistedEntries> disk) {
        String name = born.node().replace("'", "");
        owners = all.stream().map(each -> each.replace("'", "")).distinct().toList();
        List<String> others =
                all.stream().filter(each -> !each.equals(born.node())).toList();
        ReplicatedStore.ReplicationSettings stated = new ReplicatedStore.ReplicationSettings(
                Duration.ofMillis(500), 1, Duration.ofHours(24), 512 << 10, false);
        words = new ReplicatedStore(
                born.now(),
                name,
                0,
                disk.getOrDefault(born.node(), ReplicatedStore.PersistedEntries.NONE),
                stated,
                () -> others,
                born.chance(),
                event -> {
                    // A conflict is drawn as what is believed.
                    if (!event.text().startsWith("replication-version-conflict ")) {
                        born.notes().accept(event.text());
                    }
                });
    }

    void put(Duration now, String value) {
        words.put(now, TOPIC, value.getBytes(StandardCharsets.UTF_8));
    }

    void remove(Duration now) {
        words.remove(now, TOPIC);
    }

    private static List<Scenario.AddressedMessage<byte[]>> out(List<OutgoingMessage> all) {
        return all.stream()
                .map(carry -> new Scenario.AddressedMessage<>(carry.receiver(), carry.body()))
                .toList();
    }

    @Override
    public List<Scenario.AddressedMessage<byte[]>> look(Duration now) {
        return out(words.tick(now));
    }

    @Override
    public List<Scenario.AddressedMessage<byte[]>> heard(Duration now, String from, byte[] body) {
        return out(words.receive(now, from, body));
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        Map<String, SharedStore.VersionConflict> clashes = new TreeMap<>();
        words.conflicts().forEach(clash -> clashes.put(clash.owner(), clash));
        for (String owner : owners) {
            all.put(
                    owner,
                    clashes.containsKey(owner)
                            ? owner + " claims two things"
                            : words.get(owner, TOPIC)
                                    .map(its -> owner + " says " + new String(its.value(), StandardCharsets.UTF_8)
                                            + " (" + its.incarnation() + "." + its.sequence() + ")")
                                    .orElse(spoke.contains(owner) ? owner + " says nothing" : ""));
            if (words.get(owner, TOPIC).isPresent()) {
                spoke.add(owner);
            }
        }
        return all;
    }
}
