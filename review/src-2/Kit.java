import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases of the second review share: processes, the record, free ports, and a small HTTP client. */
final class Kit {
    /** A case: returns true if the rule held. */
    interface Case {
        boolean run() throws Exception;
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    static final InetAddress HERE = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static Path root;
    static Path folder;
    static Path tmp;
    private static PrintWriter record;
    private static final long BEGAN = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final List<ProcessHandle> ADOPTED = new ArrayList<>();

    private Kit() {}

    /** Arguments: the root of the repository, the folder of the case, a temporary folder. */
    static void main(String[] args, Case one) {
        int status = 2;
        try {
            root = Path.of(args[0]).toAbsolutePath();
            folder = Path.of(args[1]).toAbsolutePath();
            tmp = Path.of(args[2]).toAbsolutePath();
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
            log("TROUBLE=" + (TROUBLE ? 1 : 0));
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::killAll));
            Thread limit = new Thread(Kit::endInTime, "limit");
            limit.setDaemon(true);
            limit.start();
            status = one.run() ? 0 : 1;
            log(status == 0 ? "the rule held" : "the rule was BROKEN");
        } catch (Throwable e) {
            status = 2;
            if (record != null) {
                log("the case could not run: " + e);
                e.printStackTrace(record);
            }
            e.printStackTrace();
        }
        killAll();
        if (record != null) {
            synchronized (Kit.class) {
                record.flush();
            }
        }
        Runtime.getRuntime().halt(status);
    }

    /** A case takes 120 s at most; one that is not over by then could not run. */
    private static void endInTime() {
        try {
            Thread.sleep(115_000);
        } catch (InterruptedException e) {
            return;
        }
        log("the case could not run: it is not over after 115 s");
        killAll();
        Runtime.getRuntime().halt(2);
    }

    static long ms() {
        return (System.nanoTime() - BEGAN) / 1_000_000;
    }

    static synchronized void log(String line) {
        String text = String.format("%7d %s", ms(), line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    /** Only into the record, not to the console. */
    static synchronized void note(String line) {
        record.println(String.format("%7d %s", ms(), line));
    }

    /** The line `run` of the deploy file. */
    static String runLine() throws IOException, CannotRun {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new CannotRun("no run line in deploy/balancer.toml");
    }

    /** Starts a command by /bin/sh -c from the root of the repository; its output goes to a file. */
    static Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        tmp.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
        log("started " + name + ", pid " + process.pid() + ": " + command.replace(tmp.toString(), "TMP"));
        return process;
    }

    /** Also ends, with the case, a process that a started program has launched. */
    static void adopt(long pid) {
        ProcessHandle.of(pid).ifPresent(handle -> {
            synchronized (PROCESSES) {
                ADOPTED.add(handle);
            }
        });
    }

    static void kill(Process process) throws InterruptedException {
        log("SIGKILL to pid " + process.pid());
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    static void signal(Process process, String signal) throws IOException, InterruptedException {
        log("SIG" + signal + " to pid " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    static void killAll() {
        synchronized (PROCESSES) {
            // Agents first, or they would launch their instances again.
            PROCESSES.forEach(process -> process.descendants().forEach(ADOPTED::add));
            PROCESSES.forEach(Process::destroyForcibly);
            ADOPTED.forEach(ProcessHandle::destroyForcibly);
        }
    }

    static String output(String name) throws IOException {
        return Files.readString(tmp.resolve(name + ".log"));
    }

    /** Waits until the program's output has the text. */
    static void await(String name, String text, long millis) throws Exception {
        long end = ms() + millis;
        while (!output(name).contains(text)) {
            if (ms() > end) {
                throw new CannotRun(name + " did not print '" + text + "' in " + millis + " ms:\n" + output(name));
            }
            Thread.sleep(50);
        }
    }

    /** A port that is free for TCP and UDP. */
    static int port() throws IOException {
        for (int i = 0; i < 50; i++) {
            try (ServerSocket tcp = new ServerSocket()) {
                tcp.bind(new InetSocketAddress(HERE, 0));
                try (DatagramSocket udp = new DatagramSocket(new InetSocketAddress(HERE, tcp.getLocalPort()))) {
                    return udp.getLocalPort();
                } catch (IOException e) {
                    // The next one.
                }
            }
        }
        throw new IOException("no free port");
    }

    // ---- HTTP

    record Answer(int status, Map<String, String> fields, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends one message on a connection of its own and reads the answer; null where there is no whole answer. */
    static Answer http(int port, String head, byte[] body, int patienceMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HERE, port), patienceMs);
            socket.setSoTimeout(patienceMs);
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            OutputStream to = socket.getOutputStream();
            to.write(out.toByteArray());
            to.flush();
            return answer(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    static Answer answer(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || !first.startsWith("HTTP/1.1 ")) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(java.util.Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Answer(Integer.parseInt(first.substring(9, 12)), fields, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return out.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            out.write(c);
        }
        return null;
    }

    static String get(int port, String path) {
        Answer answer = http(port, "GET " + path + " HTTP/1.1\r\nHost: review\r\n\r\n", new byte[0], 2000);
        return answer == null ? null : answer.text();
    }

    /** The head of a request of an edge node. */
    static String head(String service, String id, String token, int waitMs, int length) {
        return "POST /svc/" + service + " HTTP/1.1\r\nHost: review\r\nReq-Id: " + id + "\r\nReq-Time: "
                + System.currentTimeMillis() + "\r\nReq-From: 1\r\nReq-Wait-Ms: " + waitMs
                + "\r\nReq-Kb: 10\r\nReq-Rank: 0.5000\r\n" + (token == null ? "" : "Req-Token: " + token + "\r\n")
                + "Content-Length: " + length + "\r\n\r\n";
    }

    static void removeTree(Path path) throws IOException {
        try (Stream<Path> files = Files.walk(path)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
