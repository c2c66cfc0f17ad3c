package merlinlever.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What one {@link merlinlever.policy.OverloadController#decide} decided.
 *
 * @param inExecutionOrder the decisions in the order in which they are to be carried out
 * @param nextDecisionAt when to decide again, unless something happens before; since the start of the server
 */
public record Decisions(List<Decision> inExecutionOrder, Duration nextDecisionAt) {

    /** Copies the list. */
    public Decisions {
        inExecutionOrder = List.copyOf(inExecutionOrder);
    }

    /** The decisions of one kind, in their order. */
    public <D extends Decision> List<D> of(Class<D> kind) {
        return inExecutionOrder.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    /**
     * Collects decisions in the order in which they are made, and puts them into the order in which they are to be
     * carried out: by kind, as the kinds are declared in {@link Decision}. Not thread-safe.
     */
    public static final class Builder {
        private static final List<Class<? extends Decision>> KINDS_IN_ORDER = List.of(
                Decision.SendBackpressure.class,
                Decision.ReportHealth.class,
                Decision.CloseIdleConnections.class,
                Decision.Retain.class,
                Decision.Fail.class,
                Decision.Stop.class,
                Decision.Reject.class,
                Decision.Evict.class,
                Decision.Start.class,
                Decision.ShareOutcome.class,
                Decision.CallDownstream.class,
                Decision.SkipCall.class,
                Decision.Log.class,
                Decision.Release.class);

        private final Map<Class<? extends Decision>, List<Decision>> byKind = new HashMap<>();

        /** Adds a decision behind those of its kind. */
        public void add(Decision decision) {
            byKind.computeIfAbsent(decision.getClass(), kind -> new ArrayList<>())
                    .add(decision);
        }

        /** Withdraws the decisions to share an outcome that do not hold any more. */
        public void withdrawShares(Predicate<RequestHandle> isOutdated) {
            byKind.getOrDefault(Decision.ShareOutcome.class, new ArrayList<>())
                    .removeIf(share -> isOutdated.test(((Decision.ShareOutcome) share).request()));
        }

        /** All decisions in the order in which they are to be carried out. */
        public Decisions build(Duration nextDecisionAt) {
            List<Decision> inExecutionOrder = new ArrayList<>();
            KINDS_IN_ORDER.forEach(kind -> inExecutionOrder.addAll(byKind.getOrDefault(kind, List.of())));
            return new Decisions(inExecutionOrder, nextDecisionAt);
        }
    }
}
