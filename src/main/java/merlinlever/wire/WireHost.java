package merlinlever.wire;

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

/** Hosts any number of instances on the bench's wire, each with nothing in common with the others. */
public final class WireHost {

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream errors;
    private final Map<String, ControllerInstance> instances = new HashMap<>();
    private long lines;

    public WireHost(InputStream in, OutputStream out, PrintStream errors) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.errors = errors;
    }

    /** Serves batches until the input ends; returns the exit status of the process. */
    public int serve() throws IOException {
        try {
            StringBuilder reply = new StringBuilder();
            for (String frame = next(); frame != null; frame = next()) {
                if (frame.isEmpty()) {
                    continue;
                }
                reply.setLength(0);
                batch(new WireMessage(frame, lines), reply);
                out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            return 0;
        } catch (WireMessage.MalformedMessageException e) {
            errors.println("wirehost: " + e.getMessage());
            return 1;
        }
    }

    private String next() throws IOException {
        lines++;
        return in.readLine();
    }

    private void batch(WireMessage frame, StringBuilder reply) throws IOException {
        if (!frame.word().equals("frame")) {
            throw frame.fault("a batch begins with 'frame', not with '" + frame.word() + "'");
        }
        double now = frame.neededNumber("now");
        long number = frame.neededWhole("n");
        Map<String, ControllerInstance> told = new LinkedHashMap<>();
        for (String text = next(); ; text = next()) {
            if (text == null) {
                throw new WireMessage.MalformedMessageException("line " + lines + ": the input ends within a batch");
            }
            if (text.equals("eof_batch")) {
                break;
            }
            event(text, now, told, reply);
        }
        told.forEach((name, instance) -> {
            if (instances.get(name) == instance) {
                guarded(name, reply, () -> instance.settle(now, reply));
            }
        });
        reply.append("ready n=").append(number).append('\n');
    }

    private void event(String text, double now, Map<String, ControllerInstance> told, StringBuilder reply) {
        WireMessage line = new WireMessage(text, lines);
        String who = line.needed("who");
        if (line.word().equals("enlist")) {
            guarded(who, reply, () -> {
                instances.put(who, new ControllerInstance(line, now));
                told.put(who, instances.get(who));
            });
            return;
        }
        ControllerInstance instance = instances.get(who);
        if (instance == null) {
            throw line.fault("no instance " + who);
        }
        if (line.word().equals("exit")) {
            instances.remove(who);
            return;
        }
        told.put(who, instance);
        guarded(who, reply, () -> instance.tell(line, now));
    }

    /** A failure inside the decisions is said on the wire; one of the input ends the host. */
    private static void guarded(String who, StringBuilder reply, Runnable part) {
        try {
            part.run();
        } catch (WireMessage.MalformedMessageException e) {
            throw e;
        } catch (RuntimeException e) {
            String text = e + " at " + e.getStackTrace()[0];
            reply.append("die who=")
                    .append(who)
                    .append(" line=")
                    .append(text.replace('\n', ' '))
                    .append('\n');
        }
    }
}
