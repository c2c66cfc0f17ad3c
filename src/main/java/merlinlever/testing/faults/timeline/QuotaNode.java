package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import merlinlever.controller.QuotaDemand;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.quota.LeaseHolder;
import merlinlever.fleet.quota.QuotaConsumer;
import merlinlever.fleet.quota.QuotaCoordinator;

/** Leadership and one budget in a play. */
final class QuotaNode implements Scenario.ScenarioNode<QuotaNode.QuotaMessage> {

    /** What passes between them. */
    record QuotaMessage(long number, String what) {}

    static final FleetQuota BUDGET = new FleetQuota(
            "calls",
            "calls",
            12,
            FleetQuota.QuotaKind.PER_SECOND,
            Duration.ofSeconds(2),
            0.01,
            Duration.ofSeconds(1),
            Map.of());
    private static final Pattern OUT = Pattern.compile("\"out\":(-?[0-9]+)");

    static final Scenario.MessageDescriber<QuotaMessage> WORDS = new Scenario.MessageDescriber<>() {
        @Override
        public String of(QuotaMessage word) {
            String[] part = word.what.split("/");
            return switch (part[0]) {
                case "V" -> "promise me term " + part[1] + "?";
                case "P" -> "I promise you term " + part[1];
                case "N" -> "no, I promised term " + part[1];
                case "H" -> part[2] + " leads term " + part[1];
                case "Q" -> part[1].equals("0")
                        ? "who leads?"
                        : "hold " + part[5] + ", want " + part[7] + ", term " + part[1];
                default -> "take " + part[4] + ", term " + part[1];
            };
        }

        @Override
        public Scenario.MessageVisibility show(QuotaMessage word) {
            return word.what.startsWith("N")
                    ? Scenario.MessageVisibility.ALWAYS
                    : word.what.startsWith("H") || word.what.startsWith("Q/0/")
                            ? Scenario.MessageVisibility.EFFECT
                            : Scenario.MessageVisibility.EFFECT_OR_LOST;
        }
    };

    private final LeaderElection terms;
    private final QuotaCoordinator sharing;

    /** @param disk the highest term that was promised, over its lives */
    QuotaNode(Scenario.NodeContext born, List<String> voters, Map<String, Long> disk, long wants) {
        terms = new LeaderElection(
                born.now(),
                born.node(),
                new ElectionSettings(voters, BUDGET.leaseDuration(), BUDGET.maxClockDrift()),
                disk.getOrDefault(born.node(), 0L),
                term -> {
                    disk.merge(born.node(), term, Math::max);
                    return true;
                },
                born.chance().split(),
                line -> {});
        sharing = new QuotaCoordinator(
                born.now(),
                new LeaseHolder(born.node(), (long) born.life() << 20),
                List.of(BUDGET),
                terms,
                born.chance().split(),
                new QuotaConsumer() {
                    @Override
                    public QuotaDemand demand(Duration now, FleetQuota budget) {
                        return new QuotaDemand(0, wants);
                    }

                    @Override
                    public void setAllowance(FleetQuota budget, long share, Duration until) {}
                },
                line -> {});
    }

    boolean leads(Duration now) {
        return terms.isLeader(now);
    }

    long share(Duration now) {
        return sharing.available(now, 0);
    }

    private static List<Scenario.AddressedMessage<QuotaMessage>> out(List<PeerMessage.Text> said) {
        return said.stream()
                .map(say -> new Scenario.AddressedMessage<>(
                        say.recipient(), new QuotaMessage(say.correlationId(), say.text())))
                .toList();
    }

    @Override
    public List<Scenario.AddressedMessage<QuotaMessage>> look(Duration now) {
        List<Scenario.AddressedMessage<QuotaMessage>> out = new ArrayList<>(out(terms.tick(now)));
        out.addAll(out(sharing.tick(now)));
        return out;
    }

    @Override
    public List<Scenario.AddressedMessage<QuotaMessage>> heard(Duration now, String from, QuotaMessage word) {
        return out(
                LeaderElection.MESSAGE_TYPES.contains(word.what.split("/")[0])
                        ? terms.receive(now, from, word.number, word.what)
                        : sharing.receive(now, from, word.number, word.what));
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        Leadership.Leader leader = terms.leader(now).orElse(null);
        all.put(
                "leader",
                leader == null
                        ? "nobody leads"
                        : terms.isLeader(now)
                                ? "I lead, term " + leader.term()
                                : leader.name() + " leads, term " + leader.term());
        Matcher out = OUT.matcher(sharing.statusJson(now));
        all.put(
                "out",
                out.find() && !out.group(1).equals("-1") ? "given " + out.group(1) + " of " + BUDGET.limit() : "");
        all.put("share", "share " + sharing.available(now, 0));
        return all;
    }
}
