package review;

import static review.Support.note;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the parties that a backend talks to, after the kit's protocol page. */
final class Platform {
    static final String LOOPBACK = "127.0.0.1";
    static final ScheduledThreadPoolExecutor TIMERS = new ScheduledThreadPoolExecutor(4, task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });

    private Platform() {}

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static ServerSocket listener() throws IOException {
        return new ServerSocket(0, 100, InetAddress.getByName(LOOPBACK));
    }

    /** The command of the deploy file that starts one backend. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Support.root.resolve("deploy/balancer.toml"))) {
            Matcher matcher = Pattern.compile("run = \"(.*)\"\\s*(#.*)?").matcher(line);
            if (matcher.matches()) {
                return matcher.group(1);
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    // ---- the render farm agent

    /** How runs of a class go: a segment of work, then a call and another segment for each call. */
    record Kind(int calls, int minSegmentMs, int maxSegmentMs) {}

    /** What came of the deliveries and launches that an agent received. */
    static final class AgentCounts {
        final AtomicLong runs = new AtomicLong();
        final AtomicLong callsAnswered = new AtomicLong();
        final AtomicLong wrongReplies = new AtomicLong();
        final AtomicLong repliesToNoCall = new AtomicLong();
        final AtomicLong launchesOfRunning = new AtomicLong();
        final AtomicLong launchesOfEnded = new AtomicLong();
        /** The ids of the requests that were run a second time, with the time at which that run began. */
        final Map<String, Long> secondRuns = new ConcurrentHashMap<>();
        final AtomicLong linksBroken = new AtomicLong();
    }

    /** A render farm agent. All state is guarded by this object. */
    static final class Agent {
        private final class Run {
            final String id;
            final Kind kind;
            final String body;
            /** The number of the call that the run has asked for last, from 1; 0 before the first. */
            int call;
            boolean waiting;
            boolean ended;
            String outcome;
            final long startedAt = System.nanoTime();

            Run(String id, Kind kind, String body) {
                this.id = id;
                this.kind = kind;
                this.body = body;
            }
        }

        private final class Link {
            final Socket socket;
            final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();

            Link(Socket socket) {
                this.socket = socket;
            }

            void write() {
                try {
                    OutputStream out = socket.getOutputStream();
                    while (!socket.isClosed()) {
                        String line = lines.take();
                        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                        if (chance.nextDouble() < pieceShare) {
                            int cut = 1 + chance.nextInt(bytes.length - 1);
                            out.write(bytes, 0, cut);
                            out.flush();
                            Support.sleep(1 + chance.nextInt(maxPieceMs));
                            out.write(bytes, cut, bytes.length - cut);
                        } else {
                            out.write(bytes);
                        }
                        out.flush();
                    }
                } catch (IOException e) {
                    // The link has ended.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(-?[0-9.]+))");

        private final String name;
        private final Map<String, Kind> kinds;
        private final AgentCounts counts;
        private final ServerSocket listener;
        private final Random chance;
        private final double pieceShare;
        private final int maxPieceMs;
        private final Map<String, Run> runs = new HashMap<>();
        private final List<String> notices = new ArrayList<>();
        private final long startedAt = System.nanoTime();
        /** Whether a request is over: answered, or its edge node has stopped waiting. */
        private final Predicate<String> isOver;
        private int running;
        private Link link;

        /** @param pieceShare the share of lines that are written in two pieces, up to maxPieceMs apart */
        Agent(
                String name,
                Map<String, Kind> kinds,
                AgentCounts counts,
                long seed,
                double pieceShare,
                int maxPieceMs,
                Predicate<String> isOver)
                throws IOException {
            this.isOver = isOver;
            this.name = name;
            this.kinds = kinds;
            this.counts = counts;
            this.chance = new Random(seed);
            this.pieceShare = pieceShare;
            this.maxPieceMs = maxPieceMs;
            listener = listener();
            daemon("agent-" + name, this::acceptLinks);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void acceptLinks() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon("agent-link-" + name, () -> read(new Link(socket)));
                }
            } catch (IOException e) {
                note(name + ": the agent does not listen any more: " + e);
            }
        }

        private void read(Link of) {
            try (Socket socket = of.socket) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    Map<String, String> fields = new HashMap<>();
                    Matcher matcher = FIELD.matcher(line);
                    while (matcher.find()) {
                        fields.put(matcher.group(1), matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
                    }
                    handle(of, fields);
                }
            } catch (IOException e) {
                // The link has ended.
            }
        }

        private synchronized void handle(Link from, Map<String, String> command) {
            String id = command.get("req");
            switch (command.get("cmd")) {
                case "subscribe" -> subscribe(from, Integer.parseInt(command.get("offset")));
                case "sample" -> from.lines.add("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token")
                        + "\",\"load\":[" + running + "]}");
                case "exercise" -> from.lines.add(
                        "{\"cmd\":\"exercised\",\"token\":\"" + command.get("token") + "\",\"result\":\"OK\"}");
                case "launch" -> {
                    if (from == link) {
                        launch(id, command.get("method"), text(command.get("payload")));
                    }
                }
                case "deliver" -> {
                    if (from == link) {
                        deliver(id, text(command.get("payload")));
                    }
                }
                case "freeze" -> {
                    Run run = runs.get(id);
                    if (from == link && run != null && !run.ended) {
                        end(run, "STOPPED", "");
                    }
                }
                default -> note(name + ": unknown command " + command);
            }
        }

        private static String text(String base64) {
            return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
        }

        /** A new link replaces the one before it. */
        private void subscribe(Link from, int offset) {
            if (link != null) {
                close(link);
            }
            link = from;
            from.lines.add("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":"
                    + (System.nanoTime() - startedAt) / 1e6 + "}");
            from.lines.addAll(notices.subList(Math.min(offset, notices.size()), notices.size()));
            daemon("agent-writer-" + name, from::write);
        }

        private static void close(Link of) {
            try {
                of.socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        /** The link breaks; commands that were not read yet are lost. */
        synchronized void breakLink() {
            if (link != null) {
                counts.linksBroken.incrementAndGet();
                note(name + ": link broken after notice " + notices.size());
                close(link);
                link = null;
            }
        }

        private void launch(String id, String method, String body) {
            Run known = runs.get(id);
            if (known != null && !known.ended) {
                counts.launchesOfRunning.incrementAndGet();
                note(name + ": launch of " + id + ", which runs already: nothing happens");
                return;
            }
            if (known != null) {
                counts.launchesOfEnded.incrementAndGet();
                if (isOver.test(id)) {
                    note(name + ": launch of " + id + ", which is over: MOOT");
                    notice("outcome", id, ",\"result\":\"MOOT\",\"elapsed_ms\":0");
                    return;
                }
                counts.secondRuns.put(id, System.nanoTime());
                note(name + ": SECOND RUN: " + id + " ('" + body + "') is launched again; its run has ended with "
                        + known.outcome + " and its edge node has no answer yet");
            }
            Run run = new Run(id, kinds.get(method), body);
            runs.put(id, run);
            counts.runs.incrementAndGet();
            note(name + ": run of " + id + " starts");
            work(run);
        }

        private void work(Run run) {
            running++;
            int ms = run.kind.minSegmentMs + chance.nextInt(run.kind.maxSegmentMs - run.kind.minSegmentMs + 1);
            TIMERS.schedule(() -> worked(run), ms, TimeUnit.MILLISECONDS);
        }

        private synchronized void worked(Run run) {
            if (run.ended) {
                return;
            }
            running--;
            if (run.call < run.kind.calls) {
                run.call++;
                run.waiting = true;
                note(name + ": run of " + run.id + " waits for call " + run.call);
                notice("request", run.id, ",\"payload\":\"" + base64(callBody(run)) + "\"");
            } else {
                end(run, "OK", result(run.id, run.body));
            }
        }

        private static String callBody(Run run) {
            return "call " + run.call + " of " + run.id;
        }

        private void end(Run run, String result, String payload) {
            if (!run.waiting && result.equals("STOPPED")) {
                running--;
            }
            run.ended = true;
            run.outcome = result;
            note(name + ": run of " + run.id + " ends with " + result);
            notice(
                    "outcome",
                    run.id,
                    ",\"result\":\"" + result + "\",\"elapsed_ms\":" + (System.nanoTime() - run.startedAt) / 1e6
                            + ",\"payload\":\"" + base64(payload) + "\"");
        }

        private void deliver(String id, String payload) {
            Run run = runs.get(id);
            if (run == null || run.ended || !run.waiting) {
                counts.repliesToNoCall.incrementAndGet();
                note(name + ": '" + payload + "' delivered, but no call of " + id + " waits: ignored");
                return;
            }
            run.waiting = false;
            counts.callsAnswered.incrementAndGet();
            String expected = replyBody(callBody(run));
            note(name + ": '" + payload + "' delivered to call " + run.call + " of " + id);
            if (!payload.equals(expected)) {
                counts.wrongReplies.incrementAndGet();
                note(name + ": WRONG REPLY: run " + id + " waits for call " + run.call + " and was delivered '"
                        + payload + "' in place of '" + expected + "'");
            }
            work(run);
        }

        private void notice(String kind, String id, String fields) {
            String line = "{\"cmd\":\"" + kind + "\",\"offset\":" + (notices.size() + 1) + ",\"req\":\"" + id + "\""
                    + fields + "}";
            notices.add(line);
            if (link != null) {
                link.lines.add(line);
            }
        }
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    static String result(String id, String body) {
        return "result of " + id + " for " + body;
    }

    static String replyBody(String callBody) {
        return "reply to " + callBody;
    }

    // ---- the records service

    /** A records service that answers each call after some milliseconds with a reply that names the call. */
    static final class Records {
        private final ServerSocket listener = listener();
        private final int minMs;
        private final int maxMs;
        private final Random chance;

        Records(int minMs, int maxMs, long seed) throws IOException {
            this.minMs = minMs;
            this.maxMs = maxMs;
            chance = new Random(seed);
            daemon("records", () -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        daemon("records-connection", () -> serve(socket));
                    }
                } catch (IOException e) {
                    note("the records service does not listen any more: " + e);
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                for (String line = line(in); line != null; line = line(in)) {
                    String[] fields = line.split(" ");
                    if (!fields[0].equals("OP")) {
                        continue;
                    }
                    String body =
                            new String(in.readNBytes(Integer.parseInt(fields[3])), StandardCharsets.UTF_8);
                    in.readNBytes(2);
                    byte[] reply = replyBody(body).getBytes(StandardCharsets.UTF_8);
                    int ms;
                    synchronized (chance) {
                        ms = minMs + chance.nextInt(maxMs - minMs + 1);
                    }
                    TIMERS.schedule(
                            () -> {
                                try {
                                    ByteArrayOutputStream whole = new ByteArrayOutputStream();
                                    whole.writeBytes((fields[1] + " DONE " + reply.length + "\r\n")
                                            .getBytes(StandardCharsets.US_ASCII));
                                    whole.writeBytes(reply);
                                    whole.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
                                    synchronized (out) {
                                        out.write(whole.toByteArray());
                                        out.flush();
                                    }
                                } catch (IOException e) {
                                    // The caller has gone.
                                }
                                return null;
                            },
                            ms,
                            TimeUnit.MILLISECONDS);
                }
            } catch (IOException e) {
                // The connection has ended.
            }
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return null;
    }

    // ---- the directory

    /** A directory that takes reports and gives no answer. */
    static int directory() throws IOException {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
        daemon("directory", () -> {
            try {
                while (true) {
                    socket.receive(new DatagramPacket(new byte[512], 512));
                }
            } catch (IOException e) {
                note("the directory does not listen any more: " + e);
            }
        });
        return socket.getLocalPort();
    }

    // ---- an edge node

    /** What an edge node was answered. */
    record Answer(int status, byte[] body) {}

    /** One connection of an edge node, with one request at a time. */
    static final class EdgeConnection implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        boolean closing;

        EdgeConnection(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        Answer exchange(String message, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            String first = line(in);
            if (first == null) {
                throw new IOException("closed without an answer");
            }
            int length = 0;
            for (String head = line(in); head != null && !head.isEmpty(); head = line(in)) {
                String lower = head.toLowerCase(java.util.Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(15).trim());
                } else if (lower.startsWith("connection:") && lower.contains("close")) {
                    closing = true;
                }
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("closed within an answer");
            }
            return new Answer(Integer.parseInt(first.split(" ")[1]), body);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String service, String id, int waitMs, String headers, String body) {
        return "POST /svc/" + service + " HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id + "\r\nReq-Time: "
                + System.currentTimeMillis() + "\r\nReq-From: 1\r\nReq-Wait-Ms: " + waitMs
                + "\r\nReq-Kb: 24.5\r\nReq-Rank: 0.5000\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Sends requests at a steady rate over kept connections, and counts the answers. */
    static final class EdgeNode {
        final AtomicLong sent = new AtomicLong();
        final AtomicLong served = new AtomicLong();
        final AtomicLong refused = new AtomicLong();
        final AtomicLong failed = new AtomicLong();
        final AtomicLong lost = new AtomicLong();
        final AtomicLong foreign = new AtomicLong();
        private final ConcurrentLinkedDeque<EdgeConnection> idle =
                new ConcurrentLinkedDeque<>();
        private final ExecutorService senders =
                Executors.newCachedThreadPool(task -> {
                    Thread thread = new Thread(task, "edge");
                    thread.setDaemon(true);
                    return thread;
                });
        private final int port;
        private final String service;
        private final boolean keyed;
        private final int waitMs;
        private final Random ids;
        /** When each request was answered or its connection ended, by id. */
        private final Map<String, Long> over;

        EdgeNode(int port, String service, boolean keyed, int waitMs, long seed, Map<String, Long> over) {
            this.port = port;
            this.service = service;
            this.keyed = keyed;
            this.waitMs = waitMs;
            this.over = over;
            ids = new Random(seed);
        }

        /** Sends for the given time, and then waits for the answers. */
        void load(double perSecond, long durationMs) throws InterruptedException {
            long begin = System.nanoTime();
            long next = begin;
            while (System.nanoTime() - begin < durationMs * 1_000_000L) {
                String id = String.format("%016x", ids.nextLong());
                String token = String.format("%016x%016x", ids.nextLong(), ids.nextLong());
                senders.execute(() -> send(id, keyed ? "Req-Token: " + token + "\r\n" : ""));
                next += (long) (1e9 / perSecond);
                Support.sleep((next - System.nanoTime()) / 1_000_000L);
            }
            senders.shutdown();
            senders.awaitTermination(waitMs + 1000L, TimeUnit.MILLISECONDS);
        }

        private void send(String id, String headers) {
            sent.incrementAndGet();
            EdgeConnection connection = idle.pollFirst();
            try {
                if (connection == null) {
                    connection = new EdgeConnection(port);
                }
                String body = "body of " + id;
                note("request " + id + " sent to port " + port);
                Answer answer = connection.exchange(request(service, id, waitMs, headers, body), waitMs + 500);
                over.put(id, System.nanoTime());
                note("request " + id + " answered " + answer.status());
                if (answer.status() == 200) {
                    served.incrementAndGet();
                    String text = new String(answer.body(), StandardCharsets.UTF_8);
                    if (!text.equals(result(id, body))) {
                        foreign.incrementAndGet();
                        note("WRONG RESULT for " + id + ": " + text);
                    }
                } else if (answer.status() == 503 || answer.status() == 429) {
                    refused.incrementAndGet();
                } else {
                    failed.incrementAndGet();
                }
                if (connection.closing) {
                    connection.close();
                } else {
                    idle.addFirst(connection);
                }
            } catch (IOException e) {
                over.put(id, System.nanoTime());
                lost.incrementAndGet();
                note("no answer for " + id + ": " + e);
            }
        }

        String summary() {
            return "sent " + sent + ", served " + served + ", refused " + refused + ", failed " + failed
                    + ", without an answer " + lost + ", foreign results " + foreign;
        }
    }
}
