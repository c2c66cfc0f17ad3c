package merlinlever.faults.timeline;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** All plays by name: the hard cases that are explained by a drawing. */
public final class Plays {

    private static final Map<String, Supplier<Timeline>> ALL = new LinkedHashMap<>();

    static {
        ALL.put("members-death", MemberPlays::death);
        ALL.put("members-refutation", MemberPlays::refutation);
        ALL.put("members-one-way", MemberPlays::oneWay);
        ALL.put("members-restart", MemberPlays::restart);
        ALL.put("members-two-under-one-name", MemberPlays::twins);
        ALL.put("members-healed", MemberPlays::healed);
        ALL.put("budgets-first-leader", BudgetPlays::first);
        ALL.put("budgets-leader-killed", BudgetPlays::killed);
        ALL.put("budgets-leader-parted", BudgetPlays::parted);
        ALL.put("budgets-leader-paused", BudgetPlays::paused);
        ALL.put("budgets-lost-promises", BudgetPlays::lostPromises);
        ALL.put("budgets-two-restart", BudgetPlays::restarted);
    }

    private Plays() {
    }

    public static Map<String, Supplier<Timeline>> all() {
        return Collections.unmodifiableMap(ALL);
    }
}
