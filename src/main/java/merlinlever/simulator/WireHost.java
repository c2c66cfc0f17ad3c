package merlinlever.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs the controllers of simulated servers, which communicate with the simulator by a line protocol. The controllers
 * share no state. Not thread-safe.
 */
public final class WireHost {

    private static final int INPUT_BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream errors;
    private final Map<String, ControllerInstance> instancesByName = new HashMap<>();
    private long linesRead;

    /** Creates a host that reads events from the input, and writes decisions to the output and protocol errors. */
    public WireHost(InputStream in, OutputStream out, PrintStream errors) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.out = out;
        this.errors = errors;
    }

    /**
     * Processes batches of events until the end of the input.
     *
     * @return the exit status of the process: 0, or 1 after malformed input
     */
    public int serve() throws IOException {
        try {
            StringBuilder reply = new StringBuilder();
            for (String line = readLine(); line != null; line = readLine()) {
                if (line.isEmpty()) {
                    continue;
                }
                reply.setLength(0);
                handleBatch(new WireMessage(line, linesRead), reply);
                out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            return 0;
        } catch (WireMessage.MalformedMessageException e) {
            errors.println("wirehost: " + e.getMessage());
            return 1;
        }
    }

    private String readLine() throws IOException {
        linesRead++;
        return in.readLine();
    }

    private void handleBatch(WireMessage header, StringBuilder reply) throws IOException {
        if (!header.verb().equals("frame")) {
            throw header.malformed("expected 'frame' at the start of a batch, found '" + header.verb() + "'");
        }
        double nowMs = header.requiredNumber("now");
        long batchNumber = header.requiredInteger("n");
        Map<String, ControllerInstance> instancesWithEvents = new LinkedHashMap<>();
        for (String line = readLine(); !"eof_batch".equals(line); line = readLine()) {
            if (line == null) {
                throw new WireMessage.MalformedMessageException(
                        "line " + linesRead + ": the input ends within a batch");
            }
            handleEvent(line, nowMs, instancesWithEvents, reply);
        }
        instancesWithEvents.forEach((name, instance) -> {
            boolean isRunning = instancesByName.get(name) == instance;
            if (isRunning) {
                reportFailure(name, reply, () -> instance.decide(nowMs, reply));
            }
        });
        reply.append("ready n=").append(batchNumber).append('\n');
    }

    private void handleEvent(
            String line, double nowMs, Map<String, ControllerInstance> instancesWithEvents, StringBuilder reply) {
        WireMessage event = new WireMessage(line, linesRead);
        String name = event.requiredText("who");
        if (event.verb().equals("enlist")) {
            reportFailure(name, reply, () -> {
                ControllerInstance newInstance = new ControllerInstance(event, nowMs);
                instancesByName.put(name, newInstance);
                instancesWithEvents.put(name, newInstance);
            });
            return;
        }
        ControllerInstance instance = instancesByName.get(name);
        if (instance == null) {
            throw event.malformed("unknown instance " + name);
        }
        if (event.verb().equals("exit")) {
            instancesByName.remove(name);
            return;
        }
        instancesWithEvents.put(name, instance);
        reportFailure(name, reply, () -> instance.handleEvent(event, nowMs));
    }

    /**
     * Runs an action of one instance and reports a failure of its controller to the simulator. Such a failure does not
     * affect other instances, while malformed input ends the host.
     */
    private static void reportFailure(String name, StringBuilder reply, Runnable action) {
        try {
            action.run();
        } catch (WireMessage.MalformedMessageException e) {
            throw e;
        } catch (RuntimeException e) {
            String description = e + " at " + e.getStackTrace()[0];
            reply.append("die who=")
                    .append(name)
                    .append(" line=")
                    .append(description.replace('\n', ' '))
                    .append('\n');
        }
    }
}
