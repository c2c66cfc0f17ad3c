package merlinlever.testing.faults.timeline;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** All plays by name: the hard cases that are explained by a drawing. */
public final class Scenarios {

    private static final Map<String, Supplier<Timeline>> ALL = new LinkedHashMap<>();

    static {
        ALL.put("members-death", MembershipScenarios::death);
        ALL.put("members-refutation", MembershipScenarios::refutation);
        ALL.put("members-one-way", MembershipScenarios::oneWay);
        ALL.put("members-restart", MembershipScenarios::restart);
        ALL.put("members-two-under-one-name", MembershipScenarios::twins);
        ALL.put("members-healed", MembershipScenarios::healed);
        ALL.put("budgets-first-leader", QuotaScenarios::first);
        ALL.put("budgets-leader-killed", QuotaScenarios::killed);
        ALL.put("budgets-leader-parted", QuotaScenarios::parted);
        ALL.put("budgets-leader-paused", QuotaScenarios::paused);
        ALL.put("budgets-lost-promises", QuotaScenarios::lostPromises);
        ALL.put("budgets-two-restart", QuotaScenarios::restarted);
        ALL.put("shared-missed", ReplicationScenarios::missed);
        ALL.put("shared-taken-back", ReplicationScenarios::takenBack);
        ALL.put("shared-claimed-twice", ReplicationScenarios::clash);
        ALL.put("shared-new-life", ReplicationScenarios::overtaken);
        ALL.put("routes-withdrawal-unheard", RoutesScenarios::withdrawn);
        ALL.put("routes-tightened", RoutesScenarios::tightened);
        ALL.put("routes-leak", RoutesScenarios::leak);
        ALL.put("view-parted", ViewScenarios::parted);
        ALL.put("view-leader-parted", ViewScenarios::leaderParted);
        ALL.put("view-stood-still", ViewScenarios::stoodStill);
        ALL.put("view-one-way", ViewScenarios::oneWay);
        ALL.put("view-flapping", ViewScenarios::flapping);
        ALL.put("view-bridge", ViewScenarios::bridge);
        ALL.put("view-restart", ViewScenarios::restarted);
    }

    private Scenarios() {}

    public static Map<String, Supplier<Timeline>> all() {
        return Collections.unmodifiableMap(ALL);
    }
}
