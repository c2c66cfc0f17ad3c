package merlinlever.policy;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinlever.policy.Request.Phase;

/** Table of the legal phase transitions of a request. */
final class PhaseTransitions {
    private final Map<Phase, Set<Phase>> successors = new EnumMap<>(Phase.class);

    PhaseTransitions() {
        allow(Phase.QUEUED, Phase.AWAITING_ORIGINAL, Phase.RUNNING, Phase.SHARING_OUTCOME, Phase.FINISHED);
        // The original ended without a start, the original was started, or the request was answered.
        allow(Phase.AWAITING_ORIGINAL, Phase.QUEUED, Phase.SHARING_OUTCOME, Phase.FINISHED);
        // A run that was stopped returns to the queue from any of the next three phases.
        allow(Phase.RUNNING, Phase.AWAITING_CALL, Phase.QUEUED, Phase.FINISHED);
        allow(Phase.AWAITING_CALL, Phase.IN_CALL, Phase.RUNNING, Phase.QUEUED, Phase.FINISHED);
        allow(Phase.IN_CALL, Phase.RUNNING, Phase.AWAITING_CALL, Phase.QUEUED, Phase.FINISHED);
        allow(Phase.SHARING_OUTCOME, Phase.FINISHED);
        allow(Phase.FINISHED);
    }

    private void allow(Phase from, Phase... next) {
        Set<Phase> phases = EnumSet.noneOf(Phase.class);
        phases.addAll(List.of(next));
        successors.put(from, phases);
    }

    boolean isLegal(Phase from, Phase to) {
        return successors.get(from).contains(to);
    }
}
