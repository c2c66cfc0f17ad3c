package merlinlever.policy;

import java.util.Map;

/**
 * What the controller sees of its server, for monitoring.
 *
 * @param requests how many requests there are and were
 * @param queueCapacity how many queued requests can be served within the shortest latency objective
 * @param averageOccupancy the moving average of the queue's occupancy, 1 for {@code queueCapacity}
 * @param backpressureLevel from 0; what callers are asked to hold back
 * @param stalled whether no run makes progress
 * @param draining whether the server is about to be stopped
 * @param speedFraction the fraction of its full speed that the server has at least while it warms up
 */
public record ControllerMetrics(
        RequestCounts requests,
        double queueCapacity,
        double averageOccupancy,
        double backpressureLevel,
        boolean stalled,
        boolean draining,
        double speedFraction) {

    /**
     * How many requests there are in some phases, and how many ended without an answer of use.
     *
     * @param queued in the admission queue now
     * @param onCores running now
     * @param inCalls waiting for a downstream call now, made or not
     * @param rejected since the start, by reason, with every reason in the order of their declaration
     * @param failed answered with a failure since the start
     */
    public record RequestCounts(
            int queued, int onCores, int inCalls, Map<RejectionReason, Long> rejected, long failed) {}

    static ControllerMetrics of(ServerState server) {
        return new ControllerMetrics(
                new RequestCounts(
                        server.queuedCount(),
                        server.onCoreCount(),
                        server.awaitingCallCount() + server.inCallCount(),
                        server.rejections(),
                        server.failures()),
                server.capacity().queueCapacity(),
                server.admissionControl().averageOccupancy(),
                server.backpressure().level(),
                server.stallDetector().isStalled(),
                server.drain().hasStarted(),
                server.capacity().speedFraction());
    }
}
