package merlinlever.controller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** One batch of decisions, accessible by kind. */
record DecidedBatch(Decisions decisions) {

    OptionalDouble backpressure() {
        return decisions.of(Decision.SendBackpressure.class).stream()
                .mapToDouble(Decision.SendBackpressure::value)
                .findFirst();
    }

    Optional<Boolean> health() {
        return decisions.of(Decision.ReportHealth.class).stream()
                .map(Decision.ReportHealth::healthy)
                .findFirst();
    }

    Optional<Duration> idleConnectionTimeout() {
        return decisions.of(Decision.CloseIdleConnections.class).stream()
                .map(Decision.CloseIdleConnections::idleTimeout)
                .findFirst();
    }

    List<Decision.Retain> retained() {
        return decisions.of(Decision.Retain.class);
    }

    List<RequestHandle> failed() {
        return decisions.of(Decision.Fail.class).stream()
                .map(Decision.Fail::request)
                .toList();
    }

    List<RequestHandle> stopped() {
        return decisions.of(Decision.Stop.class).stream()
                .map(Decision.Stop::request)
                .toList();
    }

    List<Decision.Reject> rejected() {
        return decisions.of(Decision.Reject.class);
    }

    List<RequestHandle> evicted() {
        return decisions.of(Decision.Evict.class).stream()
                .map(Decision.Evict::request)
                .toList();
    }

    List<RequestHandle> started() {
        return decisions.of(Decision.Start.class).stream()
                .map(Decision.Start::request)
                .toList();
    }

    List<RequestHandle> sharingOutcome() {
        return decisions.of(Decision.ShareOutcome.class).stream()
                .map(Decision.ShareOutcome::request)
                .toList();
    }

    List<Decision.CallDownstream> calls() {
        return decisions.of(Decision.CallDownstream.class);
    }

    List<ControllerEvent> events() {
        return decisions.of(Decision.Log.class).stream()
                .map(Decision.Log::event)
                .toList();
    }
}
