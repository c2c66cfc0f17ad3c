package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import merlinlever.backend.Backend;
import merlinlever.cli.dns.ZoneCommands;
import merlinlever.cli.faults.FaultsCommands;
import merlinlever.cli.fleet.FleetCommands;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.storage.StateDirectory;
import merlinlever.dns.state.Zone;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.experiments.Experiment;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.recovery.RecoverySequence;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.routes.RoutingTable;
import merlinlever.fleet.view.ViewManager;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.testing.faults.FaultHarness;
import merlinlever.testing.measurement.DnsMeasurement;
import org.junit.jupiter.api.Test;

/**
 * The `run` line of the deploy file, as the standing fleet test starts it: one process that is the JVM itself, that starts
 * no other program and loads none of the parts meant for other installations (fleet, zones, faults, YAML, the command line's
 * libraries). The bench refuses child programs and fork; this is our own proof of that, without the bench.
 */
class RunLineTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"");
    /** One class of each subsystem that {@code serve} must never load; class literals follow a renamed package. */
    private static final List<Class<?>> FOREIGN_SUBSYSTEMS = List.of(
            InstanceSupervisor.class,
            SwimProtocol.class,
            RecoverySequence.class,
            FleetQuota.class,
            LeaderElection.class,
            ViewManager.class,
            ReplicatedStore.class,
            RoutingTable.class,
            Experiment.class,
            Zone.class,
            ConfigFile.class,
            DnsMeasurement.class,
            FaultHarness.class,
            StateDirectory.class,
            FaultsCommands.class,
            FleetCommands.class,
            ZoneCommands.class);

    /** Classes of this package that {@code serve} must not load where its configuration has no recovery. */
    private static final List<Class<?>> FOREIGN_CLASSES = List.of(RecoveryAssembly.class, FleetAssembly.class);

    private static final List<String> FOREIGN_LIBRARIES = List.of(
            "picocli.",
            "org.xbill.",
            "ch.qos.",
            "org.slf4j.",
            "com.networknt.",
            "io.micrometer.",
            "org.knowm.",
            "org.HdrHistogram.",
            "java.lang.ProcessImpl",
            "java.lang.ProcessBuilder");

    private static List<String> foreignPrefixes() {
        List<String> prefixes = new ArrayList<>(FOREIGN_LIBRARIES);
        FOREIGN_CLASSES.forEach(type -> prefixes.add(type.getName()));
        for (Class<?> type : FOREIGN_SUBSYSTEMS) {
            String name = type.getPackageName();
            int subsystemEnd = (name + ".").indexOf('.', "merlinlever.".length());
            // Only some packages of the commands and of the common layer are foreign.
            boolean single =
                    name.startsWith(Main.class.getPackageName() + ".") || name.startsWith("merlinlever.common.");
            prefixes.add((single ? name : name.substring(0, subsystemEnd)) + ".");
        }
        return prefixes;
    }

    static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            Matcher matcher = RUN.matcher(line);
            if (matcher.find()) {
                return matcher.group(1);
            }
        }
        throw new AssertionError("deploy/balancer.toml has no run line");
    }

    @Test
    void runLineIsOneJavaProcessThatServes() throws IOException {
        List<String> words = Arrays.asList(runLine().trim().split("\\s+"));
        assertEquals("exec", words.get(0), "the shell is replaced, not kept as a parent");
        assertEquals("java", words.get(1));
        assertEquals(List.of("-jar", "target/merlinlever.jar", "serve"), words.subList(words.size() - 3, words.size()));
        assertFalse(
                runLine().contains("&") || runLine().contains("|") || runLine().contains(";"), "one command alone");
    }

    @Test
    void servingWithTheRunLinesFlagsStartsNoProgramAndLoadsNothingOfTheFleet() throws Exception {
        List<String> words = Arrays.asList(runLine().trim().split("\\s+"));
        Path classes = Files.createTempFile("merlinlever-classes", ".log");
        Path file = Files.createTempFile("merlinlever", ".json");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(words.subList(2, words.indexOf("-jar")));
        // The jar is made after the tests; its manifest names no class path, so the classes folder loads the same.
        command.addAll(List.of(
                "-Xlog:class+load=info:file=" + classes, "-cp", "target/classes", "merlinlever.cli.Main", "serve"));
        try (ServerSocket agents = new ServerSocket(0, 50, LOOPBACK);
                DatagramSocket directory = new DatagramSocket(0, LOOPBACK)) {
            agents.setSoTimeout(20_000);
            Files.writeString(
                    file,
                    "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"agent\":\"127.0.0.1:"
                            + agents.getLocalPort() + "\",\"lookup\":\"127.0.0.1:" + directory.getLocalPort()
                            + "\",\"seed\":\"5e1f30d27a5be964\",\"stop_ms\":2000,\"limits\":{\"sockets\":40},\"settings\":{"
                            + "\"family-info\":{\"n-cores\":1,\"memory-kb\":60000,\"gauges\":[\"runnable\"],\"halt\":\"drop\"},"
                            + "\"invariants\":{\"drain-grace\":100,\"overload-factor\":8},\"services\":[{\"name\":\"look\","
                            + "\"semantics\":\"repeatable\",\"aim\":20000,\"hard-limit\":40000}]}}");
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", file.toString());
            Process program = builder.start();
            try {
                BufferedReader out =
                        new BufferedReader(new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
                String listening = out.readLine();
                assertTrue(
                        listening != null && listening.matches(".*:[0-9]+$"), "it says where it listens: " + listening);
                int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
                try (Socket agent = agents.accept();
                        Socket edge = new Socket(LOOPBACK, port)) {
                    edge.getOutputStream()
                            .write("GET /health HTTP/1.1\r\nHost: api\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    edge.setSoTimeout(20_000);
                    assertTrue(agent.isConnected(), "it links to its render farm agent");
                    assertTrue(edge.getInputStream().read() >= 0, "an edge node is answered");
                    assertEquals(0, program.toHandle().descendants().count(), "no program started beside it");
                    program.destroy();
                    assertTrue(program.waitFor(20, TimeUnit.SECONDS), "it ends after SIGTERM");
                }
            } finally {
                program.destroyForcibly().waitFor();
            }
            assertTrue(
                    Files.readString(classes).contains(Backend.class.getName()), "the log of loaded classes is read");
            assertEquals(List.of(), foreignClasses(classes), "classes that serve must not load");
        } finally {
            Files.deleteIfExists(file);
            Files.deleteIfExists(classes);
        }
    }

    /** The classes in the runtime's log of loaded ones that serve must not load. */
    private static List<String> foreignClasses(Path log) throws IOException {
        List<String> foreign = foreignPrefixes();
        List<String> loaded = new ArrayList<>();
        for (String line : Files.readAllLines(log)) {
            int at = line.indexOf("] ");
            String name = line.substring(at + 2).split(" ")[0];
            if (foreign.stream().anyMatch(name::startsWith)) {
                loaded.add(name);
            }
        }
        return loaded;
    }
}
