package merlinlever.policy;

import java.util.Map;

/**
 * Snapshot of the controller's view of its server, for monitoring.
 *
 * @param requests the numbers of requests by state and by result
 * @param queueCapacity how many queued requests can be served within the shortest latency objective
 * @param averageOccupancy the moving average of the queue's occupancy; 1 means {@code queueCapacity}
 * @param backpressureLevel the fraction of their requests that callers are asked to hold back
 * @param stalled whether the runs on the cores are stalled
 * @param draining whether the server is draining before its process is stopped
 * @param speedFraction the lower bound of the server's current speed, as a fraction of its full speed
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
     * Numbers of requests by state and by result.
     *
     * @param queued requests in the admission queue
     * @param onCores requests that run on a core
     * @param inCalls requests whose run waits for a downstream call, whether the call was made already or not
     * @param rejected rejections since the start, with an entry for every reason in declaration order
     * @param failed requests answered with a failure since the start
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
