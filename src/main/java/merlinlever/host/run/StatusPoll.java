package merlinlever.host.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.common.net.EventLoop;
import merlinlever.host.state.InstanceStatus;

/** Requests the status of an instance or of another agent once. */
final class StatusPoll {

    private static final int MAX_INSTANCE_BYTES = 32 * 1024;
    /** Larger than the limit of an instance because an agent reports all its instances. */
    private static final int MAX_AGENT_BYTES = 2 * 1024 * 1024;

    private StatusPoll() {}

    /** Passes the status of an instance to the callback, or empty without a valid response before the timeout. */
    static void ofInstance(EventLoop loop, InetSocketAddress address, Consumer<Optional<InstanceStatus>> callback) {
        JsonGet.send(
                loop,
                address,
                new JsonGet.Request("/state", "", MAX_INSTANCE_BYTES),
                response -> callback.accept(response.flatMap(StatusPoll::parse)));
    }

    /** Passes the report of another agent to the callback, or empty without a valid response before the timeout. */
    static void ofAgent(
            EventLoop loop, InetSocketAddress address, String secret, Consumer<Optional<JsonNode>> callback) {
        String authorization = "Authorization: Bearer " + secret + "\r\n";
        JsonGet.send(loop, address, new JsonGet.Request("/instances", authorization, MAX_AGENT_BYTES), callback);
    }

    private static Optional<InstanceStatus> parse(JsonNode status) {
        if (!status.has("phase")) {
            return Optional.empty();
        }
        JsonNode recovery = status.path("recovery");
        return Optional.of(new InstanceStatus(
                status.path("phase").asText(),
                status.path("healthy").asBoolean(),
                status.path("hung").asBoolean(),
                status.path("held").asInt(),
                status.path("running").asInt(),
                status.path("in_hand").asInt(),
                status.path("capacity").asDouble(Double.NaN),
                status.path("avg").asDouble(),
                status.path("level").asDouble(),
                parseRejections(status.path("pushed_back")),
                status.path("broken_off").asLong(),
                parseQuotas(recovery.path("budgets")),
                parseView(recovery.path("view")).orElse(null)));
    }

    private static Map<String, Long> parseRejections(JsonNode countsByReason) {
        Map<String, Long> rejections = new TreeMap<>();
        countsByReason
                .properties()
                .forEach(
                        entry -> rejections.put(entry.getKey(), entry.getValue().asLong()));
        return rejections;
    }

    private static List<InstanceStatus.QuotaShare> parseQuotas(JsonNode quotas) {
        List<InstanceStatus.QuotaShare> shares = new ArrayList<>();
        for (JsonNode quota : quotas) {
            shares.add(new InstanceStatus.QuotaShare(
                    quota.path("name").asText(),
                    quota.path("whole").asLong(),
                    quota.path("share").asLong(),
                    quota.path("left_ms").asLong(),
                    quota.path("in_use").asLong(),
                    quota.path("leader").asText(),
                    quota.path("term").asLong()));
        }
        return shares;
    }

    private static Optional<InstanceStatus.ViewStatus> parseView(JsonNode view) {
        if (!view.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new InstanceStatus.ViewStatus(
                view.path("standing").asText(),
                view.path("since_ms").asLong(),
                view.path("view").asText(),
                view.path("digest").asText()));
    }
}
