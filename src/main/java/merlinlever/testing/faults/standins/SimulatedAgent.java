package merlinlever.testing.faults.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.backend.agent.LineDecoder;
import merlinlever.common.json.Json;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.testing.faults.audit.RequestAudit;

/**
 * The agent of one machine as the protocol page has it: runs what it is told to, each for the same time, and has the
 * effect of keyed work at some moment within. It outlives its backend; a power loss takes it too, with all runs that have
 * had no effect yet.
 */
public final class SimulatedAgent {

    private static final int LINE = 64 * 1024;

    private static final class RunningRequest {
        EventLoop.Timer effect, end;
        /** What goes on once its call is answered. */
        Runnable then;
    }

    private final EventLoop loop;
    private final String name;
    private final RequestAudit rules;
    private final Duration work;
    /** Whether each run makes one call before it ends. */
    private final boolean calls;

    private final ConnectionAcceptor listener;
    private final Map<String, RunningRequest> runs = new LinkedHashMap<>();
    private final List<String> notices = new ArrayList<>();
    private BackendConnection link;
    private Duration began;
    private boolean dark;

    /** On the loop's thread, as all of it. */
    public SimulatedAgent(
            EventLoop loop, String name, InetSocketAddress address, Duration work, boolean calls, RequestAudit rules)
            throws IOException {
        this.loop = loop;
        this.calls = calls;
        this.name = name;
        this.work = work;
        this.rules = rules;
        began = loop.clock().uptime();
        listener = new ConnectionAcceptor(
                loop,
                address,
                64,
                channel -> {
                    BackendConnection made = new BackendConnection();
                    made.connection = Connection.accepted(loop, channel, made, LINE, 1 << 20);
                    made.connection.resumeReading();
                },
                () -> {});
        listener.accept();
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** The machine loses its power: all runs end where they are, and nobody is told. */
    public void powerOff() {
        runs.values().forEach(SimulatedAgent::stop);
        runs.clear();
        notices.clear();
        dark = true;
        if (link != null) {
            link.connection.close(CloseReason.COMPLETED);
        }
    }

    public void powerOn() {
        dark = false;
        began = loop.clock().uptime();
    }

    private static void stop(RunningRequest run) {
        run.effect.cancel();
        run.end.cancel();
    }

    public void close() {
        powerOff();
        listener.close();
    }

    private final class BackendConnection implements Connection.Handler {
        private final LineDecoder lines = new LineDecoder(LINE);
        private Connection connection;

        @Override
        public void onReceived(ByteBuffer in) {
            lines.decode(in, this::command);
        }

        private void say(String line) {
            connection.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }

        private void command(String line) {
            Map<?, ?> command;
            try {
                command = Json.object(line);
            } catch (Json.MalformedJsonException e) {
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            String id = String.valueOf(command.get("req"));
            switch (String.valueOf(command.get("cmd"))) {
                case "subscribe" -> subscribed(((Number) command.get("offset")).intValue());
                case "sample" -> say("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token") + "\",\"load\":["
                        + runs.size() + "]}");
                case "exercise" -> say(
                        "{\"cmd\":\"exercised\",\"token\":\"" + command.get("token") + "\",\"result\":\"OK\"}");
                case "launch" -> launch(
                        id, String.valueOf(command.get("payload")), "buy".equals(command.get("method")));
                case "deliver" -> {
                    RunningRequest run = runs.get(id);
                    if (run != null && run.then != null) {
                        Runnable then = run.then;
                        run.then = null;
                        then.run();
                    }
                }
                case "freeze" -> {
                    RunningRequest run = runs.remove(id);
                    if (run != null) {
                        stop(run);
                        notice("\"cmd\":\"outcome\"", id, "\"result\":\"STOPPED\",\"elapsed_ms\":1");
                    }
                }
                default -> {}
            }
        }

        private void subscribed(int offset) {
            if (dark) {
                connection.close(CloseReason.COMPLETED);
                return;
            }
            if (link != null && link != this) {
                link.connection.close(CloseReason.COMPLETED);
            }
            link = this;
            if (offset == 0) {
                // A new life of the backend; what the one before began runs on, and nobody hears of its end.
                notices.clear();
            }
            double elapsed = loop.clock().uptime().minus(began).toNanos() / 1e6;
            say("{\"cmd\":\"greeting\",\"result\":\"" + (elapsed < 30_000 ? "COLD" : "WARM") + "\",\"elapsed_ms\":"
                    + elapsed + "}");
            notices.subList(Math.min(offset, notices.size()), notices.size()).forEach(this::say);
        }

        @Override
        public void onClosed(CloseReason how) {
            if (link == this) {
                link = null;
            }
            listener.connectionClosed();
        }
    }

    private void launch(String id, String payload, boolean keyed) {
        if (runs.containsKey(id)) {
            return;
        }
        String operation = new String(Base64.getDecoder().decode(payload), StandardCharsets.US_ASCII);
        rules.launched(id);
        RunningRequest run = new RunningRequest();
        runs.put(id, run);
        run.effect = loop.schedule(work.multipliedBy(2).dividedBy(5), () -> {
            if (keyed) {
                rules.effect(operation, id, name);
            }
        });
        Runnable ends = () -> {
            runs.remove(id);
            String result = "done " + operation + " by " + id;
            rules.recordResult(operation, result);
            notice(
                    "\"cmd\":\"outcome\"",
                    id,
                    "\"result\":\"OK\",\"elapsed_ms\":" + work.toMillis() + ",\"payload\":\""
                            + Base64.getEncoder().encodeToString(result.getBytes(StandardCharsets.US_ASCII)) + "\"");
        };
        run.end = loop.schedule(work, () -> {
            if (calls) {
                run.then = ends;
                notice("\"cmd\":\"request\"", id, "\"payload\":\"AQ==\"");
            } else {
                ends.run();
            }
        });
    }

    private void notice(String word, String id, String rest) {
        String line = "{" + word + ",\"offset\":" + (notices.size() + 1) + ",\"req\":\"" + id + "\"," + rest + "}";
        notices.add(line);
        if (link != null) {
            link.say(line);
        }
    }
}
