package merlinlever.backend.management;

import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.RejectionReason;

/** Writes the state of an instance as one JSON object; its member names are part of the management interface. */
public final class StatusReport {

    private static final int INITIAL_CAPACITY = 512;

    /** JSON has no infinity, which is the capacity while none has been learned. */
    private static final double MAX_REPORTED_CAPACITY = 1e9;

    private StatusReport() {}

    /**
     * Writes the object.
     *
     * @param unansweredRequests requests that have been read and not answered yet
     * @param uptimeMs milliseconds since the start
     * @param metrics of the controller; null before there is one
     * @param recovery a JSON object on the progress of recovery; null where no state is kept for one
     */
    public static String toJson(
            boolean draining,
            boolean healthy,
            int unansweredRequests,
            long uptimeMs,
            ControllerMetrics metrics,
            String recovery) {
        StringBuilder text = new StringBuilder(INITIAL_CAPACITY)
                .append("{\"phase\":\"")
                .append(phase(draining, metrics))
                .append("\",\"healthy\":")
                .append(healthy)
                .append(",\"in_hand\":")
                .append(unansweredRequests)
                .append(",\"age_ms\":")
                .append(uptimeMs);
        if (metrics != null) {
            appendMetrics(text, metrics);
        }
        if (recovery != null) {
            text.append(",\"recovery\":").append(recovery);
        }
        return text.append('}').toString();
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

    private static void appendMetrics(StringBuilder text, ControllerMetrics metrics) {
        text.append(",\"hung\":")
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
            text.append(reason.ordinal() == 0 ? "\"" : ",\"")
                    .append(reason.wireName())
                    .append("\":")
                    .append(metrics.requests().rejected().get(reason));
        }
        text.append('}');
    }
}
