package merlinlever.backend.management;

import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.RejectionReason;

/** Formats the state of an instance as a JSON object. The member names are part of the management interface. */
public final class StatusReport {

    private static final int INITIAL_CAPACITY = 512;

    /** Reported instead of the initial infinite capacity, as JSON cannot represent infinity. */
    private static final double MAX_REPORTED_CAPACITY = 1e9;

    private StatusReport() {}

    /**
     * Returns the JSON object.
     *
     * @param unansweredRequests number of requests that were read and are not yet answered
     * @param uptimeMs milliseconds since the start of the process
     * @param metrics the controller's metrics; null before the controller exists
     * @param recovery a JSON object with the progress of recovery; null if no recovery state is kept
     */
    public static String toJson(
            boolean draining,
            boolean healthy,
            int unansweredRequests,
            long uptimeMs,
            ControllerMetrics metrics,
            String recovery) {
        StringBuilder json = new StringBuilder(INITIAL_CAPACITY)
                .append("{\"phase\":\"")
                .append(phase(draining, metrics))
                .append("\",\"healthy\":")
                .append(healthy)
                .append(",\"in_hand\":")
                .append(unansweredRequests)
                .append(",\"age_ms\":")
                .append(uptimeMs);
        if (metrics != null) {
            appendMetrics(json, metrics);
        }
        if (recovery != null) {
            json.append(",\"recovery\":").append(recovery);
        }
        return json.append('}').toString();
    }

    private static String phase(boolean draining, ControllerMetrics metrics) {
        if (draining) {
            return "leaving";
        }
        if (metrics == null) {
            return "starting";
        }
        return metrics.speedFraction() < 1 ? "cold" : "warm";
    }

    private static void appendMetrics(StringBuilder json, ControllerMetrics metrics) {
        json.append(",\"hung\":")
                .append(metrics.stalled())
                .append(",\"held\":")
                .append(metrics.requests().queued())
                .append(",\"running\":")
                .append(metrics.requests().onCores())
                .append(",\"calls\":")
                .append(metrics.requests().inCalls())
                .append(",\"capacity\":")
                .append(Math.min(MAX_REPORTED_CAPACITY, metrics.queueCapacity()))
                .append(",\"avg\":")
                .append(metrics.averageOccupancy())
                .append(",\"level\":")
                .append(metrics.backpressureLevel())
                .append(",\"broken_off\":")
                .append(metrics.requests().failed())
                .append(",\"pushed_back\":{");
        for (RejectionReason reason : RejectionReason.values()) {
            json.append(reason.ordinal() == 0 ? "\"" : ",\"")
                    .append(reason.wireName())
                    .append("\":")
                    .append(metrics.requests().rejected().get(reason));
        }
        json.append('}');
    }
}
