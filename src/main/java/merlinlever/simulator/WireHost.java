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
 * Runs the controllers of any number of simulated servers, on the line protocol of the simulator. The servers share
 * nothing. Not thread-safe.
 */
public final class WireHost {

    private static final int INPUT_BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream errors;
    private final Map<String, ControllerInstance> instancesByName = new HashMap<>();
    private long linesRead;

    /** Reads batches from the input, writes decisions to the output, and the reason of a failed end to the errors. */
    public WireHost(InputStream in, OutputStream out, PrintStream errors) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.out = out;
        this.errors = errors;
    }

    /**
     * Answers batch after batch until the input ends.
     *
     * @return the exit status of the process: 1 if the input broke the protocol
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
            throw header.malformed("a batch begins with 'frame', not with '" + header.verb() + "'");
        }
        double nowMs = header.requiredNumber("now");
        long batchNumber = header.requiredWholeNumber("n");
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
                ControllerInstance enlisted = new ControllerInstance(event, nowMs);
                instancesByName.put(name, enlisted);
                instancesWithEvents.put(name, enlisted);
            });
            return;
        }
        ControllerInstance instance = instancesByName.get(name);
        if (instance == null) {
            throw event.malformed("no instance " + name);
        }
        if (event.verb().equals("exit")) {
            instancesByName.remove(name);
            return;
        }
        instancesWithEvents.put(name, instance);
        reportFailure(name, reply, () -> instance.handleEvent(event, nowMs));
    }

    /**
     * Runs an action of one instance. A failure of its controller, whatever it is, ends that instance alone and is
     * reported to the simulator, which counts it; input that breaks the protocol ends the host.
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
