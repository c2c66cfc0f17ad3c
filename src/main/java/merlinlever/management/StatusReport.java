package merlinlever.management;

import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.RejectionReason;

/** What an instance tells of itself, as one JSON object. */
public final class StatusReport {

    /** JSON has no figure for what no limit was learned of. */
    private static final double MAX_REPORTED_CAPACITY = 1e9;

    private StatusReport() {}

    /**
     * @param inHand operations that are read and not yet answered
     * @param ageMs since its start
     * @param figures null where the module is not there yet
     * @param recovery a JSON object that says how far it has come back, or null where nothing is kept for a return
     */
    public static String toJson(
            boolean leaving, boolean healthy, int inHand, long ageMs, ControllerMetrics figures, String recovery) {
        StringBuilder text = new StringBuilder(512)
                .append("{\"phase\":\"")
                .append(
                        leaving
                                ? "leaving"
                                : figures == null ? "starting" : figures.speedFraction() < 1 ? "cold" : "warm")
                .append("\",\"healthy\":")
                .append(healthy)
                .append(",\"in_hand\":")
                .append(inHand)
                .append(",\"age_ms\":")
                .append(ageMs);
        if (figures != null) {
            text.append(",\"hung\":")
                    .append(figures.stalled())
                    .append(",\"held\":")
                    .append(figures.requests().queued())
                    .append(",\"running\":")
                    .append(figures.requests().onCores())
                    .append(",\"calls\":")
                    .append(figures.requests().inCalls())
                    .append(",\"capacity\":")
                    .append(Math.min(MAX_REPORTED_CAPACITY, figures.queueCapacity()))
                    .append(",\"avg\":")
                    .append(figures.averageOccupancy())
                    .append(",\"level\":")
                    .append(figures.backpressureLevel())
                    .append(",\"broken_off\":")
                    .append(figures.requests().failed())
                    .append(",\"pushed_back\":{");
            for (RejectionReason reason : RejectionReason.values()) {
                text.append(reason.ordinal() == 0 ? "\"" : ",\"")
                        .append(reason.wireName())
                        .append("\":")
                        .append(figures.requests().rejected().get(reason));
            }
            text.append('}');
        }
        if (recovery != null) {
            text.append(",\"recovery\":").append(recovery);
        }
        return text.append('}').toString();
    }
}
