package merlinlever.testing.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.StateDirectories;
import merlinlever.testing.faults.audit.AgreementAudit;
import merlinlever.testing.faults.link.LinkFaults;
import merlinlever.testing.faults.link.UdpSwitch;
import merlinlever.testing.faults.process.ManagedProcesses;
import merlinlever.testing.faults.process.PortAllocator;

/**
 * Host agents of the program (`host run`), each a real process with a folder of its own, that know each other through
 * membership; every datagram between two of them passes the harness's switch, so that links can be cut, slowed or made
 * to lose. Each agent's state folder is recorded at its seam, for the states of a power loss.
 */
public final class AgentFleet implements Closeable {

    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final String SECRET = "fault-harness-secret-0001";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path root;
    private final int count;
    private final List<ManagedProcesses.ProcessSpec> specs = new ArrayList<>();
    private final List<InetSocketAddress> apis = new ArrayList<>();
    private final ManagedProcesses processes = new ManagedProcesses();
    private final LinkFaults links;
    private final EventLoop loop;
    private final Thread looping;
    private final UdpSwitch hub;

    /**
     * @param java how a process of the program is started, up to and with the main class: java, its flags, the class path
     * @param seed for the switch's chance
     */
    public AgentFleet(Path root, int count, List<String> java, long seed) throws IOException {
        this.root = root;
        this.count = count;
        links = new LinkFaults(count);
        loop = new EventLoop(MonotonicClock.system(), failure -> failure.printStackTrace());
        looping = new Thread(loop::run, "fault-harness");
        looping.setDaemon(true);
        looping.start();
        List<InetSocketAddress> real = new ArrayList<>(), fronts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            real.add(new InetSocketAddress(HERE, PortAllocator.free()));
            fronts.add(new InetSocketAddress(HERE, 0));
            apis.add(new InetSocketAddress(HERE, PortAllocator.free()));
        }
        hub = new UdpSwitch(loop, links, real, fronts, seed);
        Files.createDirectories(root);
        Path secret = root.resolve("secret");
        Files.writeString(secret, SECRET);
        for (int i = 0; i < count; i++) {
            List<String> seeds = new ArrayList<>();
            for (int other = 0; other < count; other++) {
                if (other != i) {
                    seeds.add("\"" + text(hub.front(other)) + "\"");
                }
            }
            Path folder = root.resolve("a-" + i);
            Files.createDirectories(folder);
            Files.writeString(
                    folder.resolve("host.yaml"),
                    "name: a-" + i + "\nlisten: " + text(apis.get(i)) + "\nstate: state\n"
                            + "secret-file: " + secret + "\nseed: \"" + Long.toHexString(seed + i)
                            + "\"\nmembers:\n  listen: "
                            + text(real.get(i)) + "\n  advertise: " + text(hub.front(i)) + "\n  seeds: ["
                            + String.join(", ", seeds) + "]\n"
                            + "kinds:\n  - name: idle\n    start: false\n    command: [none]\n");
            List<String> command = new ArrayList<>(java);
            command.addAll(List.of(
                    "host", "run", "--config", folder.resolve("host.yaml").toString()));
            specs.add(new ManagedProcesses.ProcessSpec(
                    "a-" + i,
                    command,
                    Map.of(
                            StateDirectories.RECORDING_DIRECTORY_VARIABLE,
                            root.resolve("records").resolve("a-" + i).toString()),
                    folder));
        }
    }

    /** How this process was started, for the agents: its own java and class path, small flags. */
    public static List<String> sameJava() {
        // Each runs in a folder of its own.
        List<String> path = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.add(Path.of(entry).toAbsolutePath().toString());
        }
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xss256k",
                "-Xmx96m",
                "-cp",
                String.join(java.io.File.pathSeparator, path),
                "merlinlever.cli.Main");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    public int count() {
        return count;
    }

    public ManagedProcesses processes() {
        return processes;
    }

    public Path root() {
        return root;
    }

    /** Where the records of agent i's state folders are. */
    public Path records(int i) {
        return root.resolve("records").resolve("a-" + i);
    }

    public String name(int i) {
        return specs.get(i).name();
    }

    public void start(int i) throws IOException {
        processes.start(specs.get(i));
    }

    /** Links are the loop's: changed on its thread, and this returns when that is done. */
    public void links(java.util.function.Consumer<LinkFaults> change) throws InterruptedException {
        java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
        loop.execute(() -> {
            change.accept(links);
            done.countDown();
        });
        done.await();
    }

    /** Whether agent i listens for commands yet. */
    public boolean answers(int i) {
        try {
            return ask(i, "/instances", Duration.ofMillis(500)) != null;
        } catch (IOException e) {
            return false;
        }
    }

    /** What agent i believes of the others, by what its front says. */
    public List<AgreementAudit.ReportedStatus> said(int i, Duration patience) throws IOException {
        List<AgreementAudit.ReportedStatus> said = new ArrayList<>();
        JsonNode fleet = ask(i, "/fleet", patience);
        for (JsonNode agent : fleet.path("agents")) {
            if (agent.has("status")
                    && agent.has("host")
                    && !agent.path("host").asText().equals(name(i))) {
                said.add(new AgreementAudit.ReportedStatus(
                        name(i),
                        agent.path("host").asText(),
                        agent.path("status").asText()));
            }
        }
        return said;
    }

    /** Which agents run and are not paused. */
    public Map<String, Boolean> running() {
        Map<String, Boolean> running = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            running.put(
                    name(i),
                    processes.starts(name(i)) > 0 && processes.state(name(i)) == ManagedProcesses.ProcessState.RUNNING);
        }
        return running;
    }

    private JsonNode ask(int i, String path, Duration patience) throws IOException {
        return get(apis.get(i), path, "Authorization: Bearer " + SECRET + "\r\n", patience);
    }

    /** One question over HTTP to a process, and its answer. */
    static JsonNode get(InetSocketAddress address, String path, String fields, Duration patience) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, (int) patience.toMillis());
            socket.setSoTimeout((int) patience.toMillis());
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: harness\r\n" + fields + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] chunk = new byte[8192];
            for (int read; (read = in.read(chunk)) >= 0 && all.size() < (4 << 20); ) {
                all.write(chunk, 0, read);
                String text = all.toString(StandardCharsets.UTF_8);
                int head = text.indexOf("\r\n\r\n");
                int at = text.toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
                if (head > 0 && at > 0 && at < head) {
                    int length = Integer.parseInt(
                            text.substring(at + 15, text.indexOf('\r', at)).strip());
                    byte[] body = all.toByteArray();
                    int start = text.substring(0, head + 4).getBytes(StandardCharsets.UTF_8).length;
                    if (body.length - start >= length) {
                        if (!text.startsWith("HTTP/1.1 200")) {
                            throw new IOException(text(address) + " answered " + text.substring(0, text.indexOf('\r')));
                        }
                        return JSON.readTree(new String(body, start, length, StandardCharsets.UTF_8));
                    }
                }
            }
            throw new IOException(text(address) + " ended its answer early");
        }
    }

    @Override
    public void close() {
        processes.close();
        hub.close();
        loop.execute(loop::stop);
    }
}
