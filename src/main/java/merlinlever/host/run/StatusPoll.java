package merlinlever.host.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.host.state.InstanceStatus;

/** Asks an instance, or another agent, once for one JSON object; no answer in time is none. */
final class StatusPoll implements Connection.Handler {

    static final Duration PATIENCE = Duration.ofSeconds(1);
    /** Octets of an answer: an instance tells little, an agent of all its instances. */
    private static final int INSTANCE = 32 * 1024, AGENT = 2 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final int most;
    private final Consumer<JsonNode> done;
    private boolean over;
    private Connection connection;
    private EventLoop.Timer late;

    private StatusPoll(int most, Consumer<JsonNode> done) {
        this.most = most;
        this.done = done;
    }

    /** {@code done} hears what the instance told, or null. */
    static void instance(EventLoop loop, InetSocketAddress address, Consumer<InstanceStatus> done) {
        pay(loop, address, "/state", "", INSTANCE, body -> {
            InstanceStatus told = null;
            try {
                told = body == null ? null : told(body);
            } catch (RuntimeException e) {
                // Not what an instance tells.
            }
            done.accept(told);
        });
    }

    /** {@code done} hears what another agent tells of its instances, or null. */
    static void agent(EventLoop loop, InetSocketAddress address, String secret, Consumer<JsonNode> done) {
        pay(loop, address, "/instances", "Authorization: Bearer " + secret + "\r\n", AGENT, done);
    }

    private static void pay(
            EventLoop loop, InetSocketAddress address, String path, String head, int most, Consumer<JsonNode> done) {
        StatusPoll visit = new StatusPoll(most, done);
        visit.late = loop.schedule(PATIENCE, () -> visit.end(null));
        try {
            visit.connection = Connection.connect(loop, address, visit, most, 4096, PATIENCE);
            visit.connection.write(
                    StandardCharsets.US_ASCII.encode("GET " + path + " HTTP/1.1\r\nHost: it\r\n" + head + "\r\n"));
        } catch (IOException e) {
            visit.end(null);
        }
    }

    private void end(JsonNode body) {
        if (over) {
            return;
        }
        over = true;
        late.cancel();
        if (connection != null) {
            connection.close(CloseReason.COMPLETED);
        }
        done.accept(body);
    }

    @Override
    public void onReceived(ByteBuffer in) {
        // The head alone is looked at until all is there.
        String head = StandardCharsets.ISO_8859_1
                .decode(in.slice(in.position(), Math.min(in.remaining(), 1024)))
                .toString();
        int headEnd = head.indexOf("\r\n\r\n");
        int at = head.indexOf("Content-Length: ");
        if (headEnd < 0 || at < 0 || at > headEnd) {
            if (in.remaining() >= Math.min(most, 1024)) {
                end(null);
            }
            return;
        }
        try {
            int length = Integer.parseInt(
                    head.substring(at + 16, head.indexOf('\r', at)).strip());
            if (length > most - headEnd - 4) {
                end(null);
            } else if (in.remaining() - headEnd - 4 >= length) {
                byte[] body = new byte[length];
                in.get(in.position() + headEnd + 4, body);
                end(head.startsWith("HTTP/1.1 200 ") ? JSON.readTree(body) : null);
            }
        } catch (IOException | RuntimeException e) {
            end(null);
        }
    }

    private static InstanceStatus told(JsonNode node) {
        Map<String, Long> reasons = new TreeMap<>();
        node.path("pushed_back")
                .properties()
                .forEach(entry -> reasons.put(entry.getKey(), entry.getValue().asLong()));
        List<InstanceStatus.QuotaShare> shares = new ArrayList<>();
        for (JsonNode each : node.path("recovery").path("budgets")) {
            shares.add(new InstanceStatus.QuotaShare(
                    each.path("name").asText(),
                    each.path("whole").asLong(),
                    each.path("share").asLong(),
                    each.path("left_ms").asLong(),
                    each.path("in_use").asLong(),
                    each.path("leader").asText(),
                    each.path("term").asLong()));
        }
        JsonNode seen = node.path("recovery").path("view");
        InstanceStatus.ViewStatus view = !seen.isObject()
                ? null
                : new InstanceStatus.ViewStatus(
                        seen.path("standing").asText(),
                        seen.path("since_ms").asLong(),
                        seen.path("view").asText(),
                        seen.path("digest").asText());
        return new InstanceStatus(
                node.required("phase").asText(),
                node.path("healthy").asBoolean(),
                node.path("hung").asBoolean(),
                node.path("held").asInt(),
                node.path("running").asInt(),
                node.path("in_hand").asInt(),
                node.path("capacity").asDouble(Double.NaN),
                node.path("avg").asDouble(),
                node.path("level").asDouble(),
                reasons,
                node.path("broken_off").asLong(),
                shares,
                view);
    }

    @Override
    public void onClosed(CloseReason how) {
        end(null);
    }
}
