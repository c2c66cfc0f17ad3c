package merlinlever.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The decisions returned by one call of {@link merlinlever.policy.OverloadController#decide}.
 *
 * @param inExecutionOrder the decisions in the order of their execution
 * @param nextDecisionAt the time of the next call unless events occur earlier, relative to the start of the server
 */
public record Decisions(List<Decision> inExecutionOrder, Duration nextDecisionAt) {

    /** Creates the batch with an unmodifiable copy of the list. */
    public Decisions {
        inExecutionOrder = List.copyOf(inExecutionOrder);
    }

    /** Returns the decisions of one kind, in the order of their execution. */
    public <D extends Decision> List<D> of(Class<D> kind) {
        return inExecutionOrder.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    /**
     * Collects the decisions of a batch and sorts them by kind, in the order in which the kinds are declared in
     * {@link Decision}. Not thread-safe.
     */
    public static final class Builder {
        private static final List<Class<? extends Decision>> EXECUTION_ORDER = List.of(
                Decision.SendBackpressure.class,
                Decision.ReportHealth.class,
                Decision.CloseIdleConnections.class,
                Decision.Retain.class,
                Decision.Fail.class,
                Decision.Stop.class,
                Decision.AbandonRun.class,
                Decision.Reject.class,
                Decision.Evict.class,
                Decision.Start.class,
                Decision.ShareOutcome.class,
                Decision.CallDownstream.class,
                Decision.SkipCall.class,
                Decision.Log.class,
                Decision.Release.class);

        private final Map<Class<? extends Decision>, List<Decision>> byKind = new HashMap<>();

        /** Adds a decision after the earlier decisions of its kind. */
        public void add(Decision decision) {
            byKind.computeIfAbsent(decision.getClass(), kind -> new ArrayList<>())
                    .add(decision);
        }

        /** Removes the decisions to share an outcome whose request is outdated. */
        public void removeOutdatedShares(Predicate<RequestHandle> isOutdated) {
            byKind.getOrDefault(Decision.ShareOutcome.class, new ArrayList<>())
                    .removeIf(share -> isOutdated.test(((Decision.ShareOutcome) share).request()));
        }

        /** Returns all decisions in the order of their execution. */
        public Decisions build(Duration nextDecisionAt) {
            List<Decision> inExecutionOrder = new ArrayList<>();
            EXECUTION_ORDER.forEach(kind -> inExecutionOrder.addAll(byKind.getOrDefault(kind, List.of())));
            return new Decisions(inExecutionOrder, nextDecisionAt);
        }
    }
}
