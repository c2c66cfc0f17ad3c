package merlinlever.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import merlinlever.budgets.Budget;
import merlinlever.budgets.Sharing;
import merlinlever.term.Leadership;
import merlinlever.term.Terms;

/** Leadership and one budget in a play. */
final class BudgetNode implements Play.Node<BudgetNode.Word> {

    /** What passes between them. */
    record Word(long number, String what) {}

    static final Budget BUDGET = new Budget(
            "calls", "calls", 12, Budget.Per.SECOND, Duration.ofSeconds(2), 0.01, Duration.ofSeconds(1), Map.of());
    private static final Pattern OUT = Pattern.compile("\"out\":(-?[0-9]+)");

    static final Play.Words<Word> WORDS = new Play.Words<>() {
        @Override
        public String of(Word word) {
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
        public Play.Show show(Word word) {
            return word.what.startsWith("N")
                    ? Play.Show.ALWAYS
                    : word.what.startsWith("H") || word.what.startsWith("Q/0/")
                            ? Play.Show.EFFECT
                            : Play.Show.EFFECT_OR_LOST;
        }
    };

    private final Terms terms;
    private final Sharing sharing;

    /** @param disk the highest term that was promised, over its lives */
    BudgetNode(Play.Born born, List<String> voters, Map<String, Long> disk, long wants) {
        terms = new Terms(
                born.now(),
                born.node(),
                voters,
                BUDGET.lease(),
                BUDGET.drift(),
                disk.getOrDefault(born.node(), 0L),
                term -> {
                    disk.merge(born.node(), term, Math::max);
                    return true;
                },
                born.chance().split(),
                line -> {});
        sharing = new Sharing(
                born.now(),
                born.node(),
                (long) born.life() << 20,
                List.of(BUDGET),
                terms,
                born.chance().split(),
                new Sharing.Spender() {
                    @Override
                    public long[] demand(Duration now, Budget budget) {
                        return new long[] {0, wants};
                    }

                    @Override
                    public void share(Budget budget, long share, Duration until) {}
                },
                line -> {});
    }

    boolean leads(Duration now) {
        return terms.leads(now);
    }

    long share(Duration now) {
        return sharing.share(now, 0);
    }

    private static List<Play.Out<Word>> out(List<Terms.Say> said) {
        return said.stream()
                .map(say -> new Play.Out<>(say.to(), new Word(say.number(), say.what())))
                .toList();
    }

    @Override
    public List<Play.Out<Word>> look(Duration now) {
        List<Play.Out<Word>> out = new ArrayList<>(out(terms.look(now)));
        out.addAll(out(sharing.look(now)));
        return out;
    }

    @Override
    public List<Play.Out<Word>> heard(Duration now, String from, Word word) {
        return out(
                Terms.WORDS.contains(word.what.split("/")[0])
                        ? terms.said(now, from, word.number, word.what)
                        : sharing.said(now, from, word.number, word.what));
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        Leadership.Leader leader = terms.leader(now);
        all.put(
                "leader",
                leader == null
                        ? "nobody leads"
                        : terms.leads(now)
                                ? "I lead, term " + leader.term()
                                : leader.name() + " leads, term " + leader.term());
        Matcher out = OUT.matcher(sharing.json(now));
        all.put(
                "out",
                out.find() && !out.group(1).equals("-1") ? "given " + out.group(1) + " of " + BUDGET.whole() : "");
        all.put("share", "share " + sharing.share(now, 0));
        return all;
    }
}
