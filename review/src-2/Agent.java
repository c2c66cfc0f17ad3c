import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A render farm agent after the protocol page: runs requests, numbers its notices, keeps them for a new link. */
final class Agent {
    /** Hears what is run. */
    interface Observer {
        void started(String req, String method, String payload);
    }

    private static final class Run {
        ScheduledFuture<?> next;
        boolean waits;
        String payload;
    }

    private static final Pattern FIELD = Pattern.compile("\"([a-z_]+)\":(\"([^\"]*)\"|[0-9.]+)");
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "agent");
        thread.setDaemon(true);
        return thread;
    });
    private final ServerSocket listener;
    private final int runMs;
    private final boolean calls;
    /** A run that waits for a call ends when its request is over, so long after its launch. */
    private final int overMs;
    private final Observer observer;
    private final Map<String, Run> runs = new HashMap<>();
    private final List<String> notices = new ArrayList<>();
    private Socket link;
    private final long startedAt = System.nanoTime();
    /** Commands are carried out this much later; those that wait when the link breaks are lost. */
    volatile int transitMs;

    Agent(int runMs, boolean calls, int overMs, Observer observer) throws IOException {
        this.runMs = runMs;
        this.calls = calls;
        this.overMs = overMs;
        this.observer = observer;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(Kit.HERE, 0));
        Thread accepting = new Thread(this::accept, "agent-accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread reading = new Thread(() -> read(socket), "agent-link");
                reading.setDaemon(true);
                reading.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void read(Socket socket) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String command = line;
                if (transitMs == 0 || command.contains("\"subscribe\"")) {
                    carryOut(socket, command);
                } else {
                    timers.schedule(
                            () -> {
                                if (!socket.isClosed()) {
                                    carryOut(socket, command);
                                }
                            },
                            transitMs,
                            TimeUnit.MILLISECONDS);
                }
            }
        } catch (IOException e) {
            // The link is gone; runs go on.
        }
    }

    /** Breaks the link. */
    synchronized void breakLink() throws IOException {
        if (link != null) {
            link.setSoLinger(true, 0);
            link.close();
            link = null;
        }
    }

    private synchronized void carryOut(Socket socket, String line) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(3) == null ? matcher.group(2) : matcher.group(3));
        }
        String req = fields.get("req");
        switch (fields.getOrDefault("cmd", "")) {
            case "subscribe" -> subscribe(socket, (int) Double.parseDouble(fields.get("offset")));
            case "sample" -> send(
                    socket, "{\"cmd\":\"sampled\",\"token\":\"" + fields.get("token") + "\",\"load\":[" + busy() + "]}");
            case "exercise" -> send(
                    socket, "{\"cmd\":\"exercised\",\"token\":\"" + fields.get("token") + "\",\"result\":\"OK\"}");
            case "launch" -> launch(req, fields.get("method"), fields.get("payload"));
            case "deliver" -> {
                Run run = runs.get(req);
                if (run != null && run.waits) {
                    run.waits = false;
                    run.next.cancel(false);
                    run.next = timers.schedule(() -> end(req, run), 5, TimeUnit.MILLISECONDS);
                }
            }
            case "freeze" -> {
                Run run = runs.remove(req);
                if (run != null) {
                    run.next.cancel(false);
                    notice("outcome", req, "\"result\":\"STOPPED\",\"elapsed_ms\":1");
                }
            }
            default -> Kit.note("agent: unknown command " + line);
        }
    }

    private int busy() {
        return (int) runs.values().stream().filter(run -> !run.waits).count();
    }

    private void subscribe(Socket socket, int offset) {
        if (link != null && link != socket) {
            try {
                link.close();
            } catch (IOException e) {
                // It is replaced anyway.
            }
        }
        link = socket;
        if (offset == 0) {
            notices.clear();
        }
        long elapsed = (System.nanoTime() - startedAt) / 1_000_000;
        send(socket, "{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":" + elapsed + "}");
        for (String notice : List.copyOf(notices.subList(Math.min(offset, notices.size()), notices.size()))) {
            send(socket, notice);
        }
    }

    private void launch(String req, String method, String payload) {
        if (runs.containsKey(req)) {
            return;
        }
        observer.started(req, method, payload);
        Run run = new Run();
        run.payload = payload;
        runs.put(req, run);
        run.next = timers.schedule(() -> calls ? call(req, run) : end(req, run), runMs, TimeUnit.MILLISECONDS);
    }

    private synchronized Object call(String req, Run run) {
        if (runs.get(req) == run) {
            run.waits = true;
            run.next = timers.schedule(() -> over(req, run), overMs, TimeUnit.MILLISECONDS);
            notice("request", req, "\"payload\":\"AQ==\"");
        }
        return null;
    }

    private synchronized Object over(String req, Run run) {
        if (runs.get(req) == run && run.waits) {
            runs.remove(req);
            notice("outcome", req, "\"result\":\"STOPPED\",\"elapsed_ms\":" + overMs);
        }
        return null;
    }

    private synchronized Object end(String req, Run run) {
        if (runs.get(req) == run) {
            runs.remove(req);
            notice("outcome", req, "\"result\":\"OK\",\"elapsed_ms\":" + runMs + ",\"payload\":\"" + run.payload + "\"");
        }
        return null;
    }

    private void notice(String kind, String req, String fields) {
        String line = "{\"cmd\":\"" + kind + "\",\"offset\":" + (notices.size() + 1) + ",\"req\":\"" + req + "\"," + fields
                + "}";
        notices.add(line);
        if (link != null) {
            send(link, line);
        }
    }

    private static void send(Socket socket, String line) {
        try {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // The backend asks again over its next link.
        }
    }

    synchronized Set<String> running() {
        return Set.copyOf(runs.keySet());
    }
}
