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
        ALL.put("shared-missed", WordsPlays::missed);
        ALL.put("shared-taken-back", WordsPlays::takenBack);
        ALL.put("shared-claimed-twice", WordsPlays::clash);
        ALL.put("shared-new-life", WordsPlays::overtaken);
        ALL.put("routes-withdrawal-unheard", RoutesPlays::withdrawn);
        ALL.put("routes-tightened", RoutesPlays::tightened);
        ALL.put("routes-leak", RoutesPlays::leak);
        ALL.put("view-parted", ViewPlays::parted);
        ALL.put("view-leader-parted", ViewPlays::leaderParted);
        ALL.put("view-stood-still", ViewPlays::stoodStill);
        ALL.put("view-one-way", ViewPlays::oneWay);
        ALL.put("view-flapping", ViewPlays::flapping);
        ALL.put("view-bridge", ViewPlays::bridge);
        ALL.put("view-restart", ViewPlays::restarted);
    }

    private Plays() {}

    public static Map<String, Supplier<Timeline>> all() {
        return Collections.unmodifiableMap(ALL);
    }
}
