package merlinlever.testing.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.StateDirectories;
import merlinlever.fleet.membership.MembershipCodec;
import merlinlever.testing.faults.audit.IncarnationAudit;
import merlinlever.testing.faults.audit.QuotaAudit;
import merlinlever.testing.faults.audit.RequestAudit;
import merlinlever.testing.faults.link.LinkFaults;
import merlinlever.testing.faults.link.UdpSwitch;
import merlinlever.testing.faults.process.ManagedProcesses;
import merlinlever.testing.faults.process.PortAllocator;
import merlinlever.testing.faults.standins.LoadGenerator;
import merlinlever.testing.faults.standins.SimulatedAgent;
import merlinlever.testing.faults.standins.SimulatedRecordsService;

/**
 * Real backends of the program (`serve`), each with an agent of its own that runs its operations, callers of its own, a
 * recorded state folder, and membership with the others through the harness's switch. The parties and the audit live in
 * this process, outside the backends.
 */
public final class ServeFleet implements Closeable {

    /**
     * What is stated.
     *
     * @param budget of the whole fleet's calls, or null where there are none
     * @param recovery whether the backends keep anything for their return; without it they start as they do on the platform
     * @param together whether voters are named, so that they know who leads and who is there
     */
    public record ServeFleetSettings(
            int count, boolean recovery, double perSecond, Duration window, SharedLimit budget, boolean together) {
        public ServeFleetSettings(int count, boolean recovery, double perSecond, Duration window, SharedLimit budget) {
            this(count, recovery, perSecond, window, budget, budget != null);
        }

        public ServeFleetSettings(int count, boolean recovery, double perSecond, Duration window) {
            this(count, recovery, perSecond, window, null);
        }
    }

    /** A limit of the whole fleet on the calls to the party that all share; each run makes one call. */
    public record SharedLimit(long whole, boolean perSecond, Duration lease, Duration takes) {
        String json(long now) {
            return "[{\"name\":\"calls\",\"whole\":" + now + ",\"per\":\"" + (perSecond ? "second" : "at-once")
                    + "\",\"lease\":\"" + lease.toMillis() + "ms\",\"longest\":\"1000ms\"}]";
        }
    }

    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final String SECRET = "fault-harness-secret-0002";
    private static final Duration WORK = Duration.ofMillis(150), WAIT = Duration.ofSeconds(2);

    private final Path root;
    private final ServeFleetSettings stated;
    private final ManagedProcesses processes = new ManagedProcesses();
    private final List<ManagedProcesses.ProcessSpec> specs = new ArrayList<>();
    private final List<InetSocketAddress> manages = new ArrayList<>();
    private final List<SimulatedAgent> farms = new ArrayList<>();
    private final List<LoadGenerator> callers = new ArrayList<>();
    private final List<String> configurations = new ArrayList<>();
    private final LinkFaults links;
    private final EventLoop loop;
    private final UdpSwitch hub;
    private final RequestAudit rules = new RequestAudit();
    private final IncarnationAudit incarnations = new IncarnationAudit();
    /** Null where no calls are made. */
    private final SimulatedRecordsService party;

    private final QuotaAudit shares;

    public ServeFleet(Path root, ServeFleetSettings stated, List<String> java, long seed)
            throws IOException, InterruptedException {
        this.root = root;
        this.stated = stated;
        int count = stated.count();
        links = new LinkFaults(count);
        loop = new EventLoop(MonotonicClock.system(), failure -> failure.printStackTrace());
        Thread looping = new Thread(loop::run, "fault-harness");
        looping.setDaemon(true);
        looping.start();
        List<InetSocketAddress> real = new ArrayList<>();
        List<InetSocketAddress> fronts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            real.add(new InetSocketAddress(HERE, PortAllocator.free()));
            fronts.add(new InetSocketAddress(HERE, 0));
        }
        hub = new UdpSwitch(loop, links, real, fronts, seed);
        MembershipCodec wire = new MembershipCodec(SECRET.getBytes(StandardCharsets.UTF_8));
        on(none -> hub.setTap(
                (from, to, octets) -> incarnations.recordMessage(name(from), name(to), wire.decode(octets))));
        Files.createDirectories(root);
        Path secret = root.resolve("secret");
        Files.writeString(secret, SECRET);
        SplittableRandom chance = new SplittableRandom(seed);
        SharedLimit budget = stated.budget();
        shares = budget == null ? null : new QuotaAudit(budget.whole(), budget.perSecond());
        SimulatedRecordsService[] shared = new SimulatedRecordsService[1];
        IOException[] failed = new IOException[1];
        on(none -> {
            try {
                shared[0] = budget == null
                        ? null
                        : new SimulatedRecordsService(loop, new InetSocketAddress(HERE, 0), budget.takes(), shares);
            } catch (IOException e) {
                failed[0] = e;
            }
        });
        party = shared[0];
        for (int i = 0; i < count; i++) {
            InetSocketAddress listen = new InetSocketAddress(HERE, PortAllocator.free());
            manages.add(new InetSocketAddress(HERE, PortAllocator.free()));
            String name = name(i);
            SplittableRandom its = chance.split();
            on(none -> {
                try {
                    farms.add(new SimulatedAgent(
                            loop, name, new InetSocketAddress(HERE, 0), WORK, budget != null, rules));
                    callers.add(new LoadGenerator(
                            loop,
                            listen,
                            new LoadGenerator.LoadSettings(stated.perSecond(), 0.4, WAIT, stated.window()),
                            rules,
                            its));
                } catch (IOException e) {
                    failed[0] = e;
                }
            });
            if (failed[0] != null) {
                throw failed[0];
            }
            Path folder = root.resolve(name);
            Files.createDirectories(folder);
            Path file = folder.resolve("config.json");
            configurations.add(configuration(i, listen, real.get(i), secret, its.nextLong()));
            Files.writeString(file, configured(i, budget == null ? 0 : budget.whole()));
            List<String> command = new ArrayList<>(java);
            command.add("serve");
            specs.add(new ManagedProcesses.ProcessSpec(
                    name,
                    command,
                    Map.of(
                            "GW_CONFIG",
                            file.toString(),
                            StateDirectories.RECORDING_DIRECTORY_VARIABLE,
                            records(i).toString()),
                    folder));
        }
    }

    private String configured(int i, long whole) {
        return configurations.get(i)
                + (stated.budget() == null
                        ? ""
                        : ",\"budgets\":" + stated.budget().json(whole)) + "}";
    }

    /** Another whole, told to all that run by SIGHUP. */
    public void whole(long changed) throws IOException, InterruptedException {
        for (int i = 0; i < count(); i++) {
            Files.writeString(root.resolve(name(i)).resolve("config.json"), configured(i, changed));
            if (runs(i)) {
                processes.hangUp(name(i));
            }
        }
    }

    private String configuration(int i, InetSocketAddress listen, InetSocketAddress real, Path secret, long seed)
            throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int other = 0; other < stated.count() && seeds.size() < 8; other++) {
            if (other != i) {
                seeds.add("\"" + AgentFleet.text(hub.front(other)) + "\"");
            }
        }
        String recovery = !stated.recovery()
                ? ""
                : ",\"recovery\":{\"state\":\"" + state(i) + "\",\"listen\":\"" + AgentFleet.text(real)
                        + "\",\"advertise\":\"" + AgentFleet.text(hub.front(i)) + "\",\"seeds\":["
                        + String.join(",", seeds)
                        + "],\"secret-file\":\"" + secret + "\",\"mark-ms\":200,\"patience-ms\":1500,\"spread-ms\":200"
                        + (!stated.together() ? "" : ",\"voters\":[" + voters() + "]") + "}";
        // Nobody reads the directory's reports here.
        return "{\"name\":\"" + name(i) + "\",\"listen\":\"" + AgentFleet.text(listen) + "\",\"agent\":\""
                + AgentFleet.text(farms.get(i).address())
                + "\",\"lookup\":\"127.0.0.1:9\",\"seed\":\"" + Long.toHexString(seed)
                + "\",\"stop_ms\":3000,\"manage\":\""
                + AgentFleet.text(manages.get(i))
                + "\",\"limits\":{\"sockets\":200},\"settings\":{\"family-info\":{\"n-cores\":8,"
                + "\"memory-kb\":200000,\"gauges\":[\"runnable\"],\"halt\":\"drop\",\"kb-per-key\":10"
                + (stated.budget() == null ? "" : ",\"calls-by-class\":[true,true]")
                + "},\"invariants\":{\"drain-grace\":100,"
                + "\"overload-factor\":8,\"cold\":1000,\"cold-share\":0.5},\"bounds\":{\"retry-after\":true,\"max-retry-after\":1000},"
                + "\"services\":[{\"name\":\"look\",\"semantics\":\"repeatable\",\"aim\":1000,\"hard-limit\":2000},"
                + "{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":1000,\"hard-limit\":2000,\"window\":"
                + stated.window().toMillis()
                + "}]}" + recovery + (party == null ? "" : ",\"records\":\"" + AgentFleet.text(party.address()) + "\"");
    }

    /** Five of them, or all where there are fewer. */
    private String voters() {
        List<String> voters = new ArrayList<>();
        for (int i = 0; i < Math.min(5, stated.count()); i++) {
            voters.add("\"" + name(i) + "\"");
        }
        return String.join(",", voters);
    }

    /** What the party that all share saw; read on the loop's thread. */
    public QuotaAudit shares() {
        return shares;
    }

    public int count() {
        return stated.count();
    }

    /** The numbers of all backends, in a list of its own. */
    public List<Integer> all() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count(); i++) {
            all.add(i);
        }
        return all;
    }

    /** Starts every backend, and then its callers. */
    public void startAll() throws IOException, InterruptedException {
        for (int i : all()) {
            start(i);
        }
        on(none -> callers.forEach(LoadGenerator::start));
    }

    public ServeFleetSettings stated() {
        return stated;
    }

    public String name(int i) {
        return "b-" + i;
    }

    public Path state(int i) {
        return root.resolve(name(i)).resolve("state");
    }

    public Path records(int i) {
        return root.resolve("records").resolve(name(i));
    }

    public ManagedProcesses processes() {
        return processes;
    }

    public SimulatedAgent farm(int i) {
        return farms.get(i);
    }

    public LoadGenerator callers(int i) {
        return callers.get(i);
    }

    /** What the audit found; read on the loop's thread. */
    public RequestAudit rules() {
        return rules;
    }

    public Duration now() {
        return loop.clock().uptime();
    }

    /** Runs it on the thread of the parties and returns when that is done. */
    public void on(Consumer<LinkFaults> run) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                run.accept(links);
            } finally {
                done.countDown();
            }
        });
        done.await();
    }

    /** What the audit of the incarnations found; read on the loop's thread. */
    public IncarnationAudit incarnations() {
        return incarnations;
    }

    /** Starts it, the first time or again. */
    public void start(int i) throws IOException, InterruptedException {
        between(() -> incarnations.recordStart(name(i)));
        on(none -> {
            callers.get(i).setBackendDown(false);
            farms.get(i).powerOn();
        });
        processes.start(specs.get(i));
    }

    /** The backend's disk was made such that it cannot know what it told; it does not run. */
    public void forgot(int i) throws IOException, InterruptedException {
        between(() -> incarnations.recordStateLoss(name(i)));
    }

    /** Between two lives of a backend: when all that the one sent has been heard. */
    private void between(Runnable what) throws IOException, InterruptedException {
        IOException[] failed = new IOException[1];
        on(none -> {
            try {
                hub.receivePending();
                what.run();
            } catch (IOException e) {
                failed[0] = e;
            }
        });
        if (failed[0] != null) {
            throw failed[0];
        }
    }

    public boolean runs(int i) {
        return processes.starts(name(i)) > 0 && processes.state(name(i)) == ManagedProcesses.ProcessState.RUNNING;
    }

    /** The machine loses its power: the backend and all that its agent runs are gone at once. */
    public void powerOff(int i) throws InterruptedException {
        on(none -> {
            callers.get(i).setBackendDown(true);
            farms.get(i).powerOff();
        });
        processes.kill(name(i));
    }

    /** What the backend tells of itself, or null where it does not answer. */
    public JsonNode told(int i) {
        try {
            return AgentFleet.get(manages.get(i), "/state", "", Duration.ofSeconds(1));
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void close() {
        processes.close();
        loop.execute(() -> {
            farms.forEach(SimulatedAgent::close);
            if (party != null) {
                party.close();
            }
        });
        hub.close();
        loop.execute(loop::stop);
    }
}
