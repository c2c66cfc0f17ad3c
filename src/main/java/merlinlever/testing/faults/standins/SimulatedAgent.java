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
 * Simulates the agent of one machine: executes each request of its backend for a fixed run time and reports the effects
 * of keyed requests to the audit during the run. Runs survive a restart of the backend; a power loss ends them. Must be
 * used only on the thread of the loop.
 */
public final class SimulatedAgent {

    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int WRITE_BUFFER_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 64;
    private static final double NANOS_PER_MILLI = 1e6;
    /** Minimum uptime at which the agent reports WARM. */
    private static final double WARM_AFTER_MS = 30_000;
    /** The effect occurs after two fifths of the run time. */
    private static final int EFFECT_NUMERATOR = 2;

    private static final int EFFECT_DENOMINATOR = 5;

    private static final class RunningRequest {
        private EventLoop.Timer effect;
        private EventLoop.Timer end;
        /** Continues the run when its downstream call is answered; null without an open call. */
        private Runnable continuation;
    }

    private final EventLoop loop;
    private final String name;
    private final RequestAudit audit;
    private final Duration runTime;
    private final boolean callsDownstream;

    private final ConnectionAcceptor acceptor;
    private final Map<String, RunningRequest> runs = new LinkedHashMap<>();
    /** Messages since the latest subscription from offset 0, for replay when the backend reconnects. */
    private final List<String> sentMessages = new ArrayList<>();

    private BackendConnection subscriber;
    private Duration startedAt;
    private boolean poweredOff;

    /**
     * Starts the agent.
     *
     * @param name name of the agent in the audit
     * @param runTime run time of every request
     * @param callsDownstream whether each run makes one downstream call before it ends
     */
    public SimulatedAgent(
            EventLoop loop,
            String name,
            InetSocketAddress address,
            Duration runTime,
            boolean callsDownstream,
            RequestAudit audit)
            throws IOException {
        this.loop = loop;
        this.callsDownstream = callsDownstream;
        this.name = name;
        this.runTime = runTime;
        this.audit = audit;
        startedAt = loop.clock().uptime();
        acceptor = new ConnectionAcceptor(
                loop,
                address,
                MAX_CONNECTIONS,
                channel -> {
                    BackendConnection accepted = new BackendConnection();
                    accepted.connection =
                            Connection.accepted(loop, channel, accepted, MAX_LINE_BYTES, WRITE_BUFFER_BYTES);
                    accepted.connection.resumeReading();
                },
                () -> {});
        acceptor.accept();
    }

    /** The address that the agent listens on. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /** Simulates a power loss: all runs end without a message. */
    public void powerOff() {
        runs.values().forEach(SimulatedAgent::cancel);
        runs.clear();
        sentMessages.clear();
        poweredOff = true;
        if (subscriber != null) {
            subscriber.connection.close(CloseReason.COMPLETED);
        }
    }

    /** Ends the power loss and resets the uptime of the agent. */
    public void powerOn() {
        poweredOff = false;
        startedAt = loop.clock().uptime();
    }

    private static void cancel(RunningRequest run) {
        run.effect.cancel();
        run.end.cancel();
    }

    /** Ends all runs and stops listening. */
    public void close() {
        powerOff();
        acceptor.close();
    }

    private final class BackendConnection implements Connection.Handler {
        private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES);
        private Connection connection;

        @Override
        public void onReceived(ByteBuffer in) {
            lines.decode(in, this::handleCommand);
        }

        private void send(String line) {
            connection.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }

        private void handleCommand(String line) {
            Map<?, ?> command;
            try {
                command = Json.parseObject(line);
            } catch (Json.MalformedJsonException e) {
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            String id = String.valueOf(command.get("req"));
            switch (String.valueOf(command.get("cmd"))) {
                case "subscribe" -> handleSubscribe(((Number) command.get("offset")).intValue());
                case "sample" -> send("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token") + "\",\"load\":["
                        + runs.size() + "]}");
                case "exercise" -> send(
                        "{\"cmd\":\"exercised\",\"token\":\"" + command.get("token") + "\",\"result\":\"OK\"}");
                case "launch" -> launch(
                        id, String.valueOf(command.get("payload")), "buy".equals(command.get("method")));
                case "deliver" -> handleDeliver(id);
                case "freeze" -> handleFreeze(id);
                default -> {}
            }
        }

        private void handleDeliver(String id) {
            RunningRequest run = runs.get(id);
            if (run != null && run.continuation != null) {
                Runnable continuation = run.continuation;
                run.continuation = null;
                continuation.run();
            }
        }

        private void handleFreeze(String id) {
            RunningRequest run = runs.remove(id);
            if (run != null) {
                cancel(run);
                sendMessage("outcome", id, "\"result\":\"STOPPED\",\"elapsed_ms\":1");
            }
        }

        private void handleSubscribe(int offset) {
            if (poweredOff) {
                connection.close(CloseReason.COMPLETED);
                return;
            }
            if (subscriber != null && subscriber != this) {
                subscriber.connection.close(CloseReason.COMPLETED);
            }
            subscriber = this;
            if (offset == 0) {
                // The backend restarted: earlier runs continue, but earlier messages are not replayed.
                sentMessages.clear();
            }
            double elapsedMs = loop.clock().uptime().minus(startedAt).toNanos() / NANOS_PER_MILLI;
            send("{\"cmd\":\"greeting\",\"result\":\"" + (elapsedMs < WARM_AFTER_MS ? "COLD" : "WARM")
                    + "\",\"elapsed_ms\":" + elapsedMs + "}");
            sentMessages
                    .subList(Math.min(offset, sentMessages.size()), sentMessages.size())
                    .forEach(this::send);
        }

        @Override
        public void onClosed(CloseReason reason) {
            if (subscriber == this) {
                subscriber = null;
            }
            acceptor.connectionClosed();
        }
    }

    private void launch(String id, String payload, boolean keyed) {
        if (runs.containsKey(id)) {
            return;
        }
        String request = new String(Base64.getDecoder().decode(payload), StandardCharsets.US_ASCII);
        audit.recordStart(id);
        RunningRequest run = new RunningRequest();
        runs.put(id, run);
        run.effect = loop.schedule(runTime.multipliedBy(EFFECT_NUMERATOR).dividedBy(EFFECT_DENOMINATOR), () -> {
            if (keyed) {
                audit.recordEffect(request, id, name);
            }
        });
        Runnable finish = () -> {
            runs.remove(id);
            String result = "done " + request + " by " + id;
            audit.recordResult(request, result);
            sendMessage(
                    "outcome",
                    id,
                    "\"result\":\"OK\",\"elapsed_ms\":" + runTime.toMillis() + ",\"payload\":\""
                            + Base64.getEncoder().encodeToString(result.getBytes(StandardCharsets.US_ASCII)) + "\"");
        };
        run.end = loop.schedule(runTime, () -> {
            if (callsDownstream) {
                run.continuation = finish;
                sendMessage("request", id, "\"payload\":\"AQ==\"");
            } else {
                finish.run();
            }
        });
    }

    private void sendMessage(String type, String id, String fields) {
        String line = "{\"cmd\":\"" + type + "\",\"offset\":" + (sentMessages.size() + 1) + ",\"req\":\"" + id + "\","
                + fields + "}";
        sentMessages.add(line);
        if (subscriber != null) {
            subscriber.send(line);
        }
    }
}
