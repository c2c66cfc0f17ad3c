package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.function.Function;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.MembershipView;
import merlinlever.fleet.view.QuorumStatus;

/** A sight of the fleet that stands as a model or a test says, and holds no view. */
public record FixedFleetView(Function<Duration, QuorumStatus> by) implements FleetView {

    @Override
    public QuorumStatus status(Duration now) {
        return by.apply(now);
    }

    @Override
    public Duration statusSince() {
        return Duration.ZERO;
    }

    @Override
    public MembershipView view() {
        return MembershipView.NONE;
    }
}
