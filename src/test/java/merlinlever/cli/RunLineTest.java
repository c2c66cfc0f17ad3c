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
 * Runs {@code serve} as the {@code run} line of the deploy file does: in a single JVM process that starts no other
 * process and loads no class of the fleet, DNS and fault injection commands or of their libraries. The bench rejects
 * child processes; this test detects them without the bench.
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

    /** Classes of this package that {@code serve} must not load unless recovery is configured. */
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
            // Only some subpackages of the commands and of the common layer are foreign.
            boolean isSubpackageOnly =
                    name.startsWith(Main.class.getPackageName() + ".") || name.startsWith("merlinlever.common.");
            prefixes.add((isSubpackageOnly ? name : name.substring(0, subsystemEnd)) + ".");
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
    void runLineReplacesTheShellByOneJvm() throws IOException {
        List<String> arguments = Arrays.asList(runLine().trim().split("\\s+"));
        assertEquals("exec", arguments.get(0), "the JVM replaces the shell");
        assertEquals("java", arguments.get(1));
        assertEquals(
                List.of("-jar", "target/merlinlever.jar", "serve"),
                arguments.subList(arguments.size() - 3, arguments.size()));
        assertFalse(
                runLine().contains("&") || runLine().contains("|") || runLine().contains(";"), "a single command");
    }

    @Test
    void serveWithFlagsOfRunLineStartsNoProcessAndLoadsNoForeignClass() throws Exception {
        List<String> arguments = Arrays.asList(runLine().trim().split("\\s+"));
        Path classLog = Files.createTempFile("merlinlever-classes", ".log");
        Path configFile = Files.createTempFile("merlinlever", ".json");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(arguments.subList(2, arguments.indexOf("-jar")));
        // The jar is built after the tests; its manifest has no class path, so target/classes loads the same classes.
        command.addAll(List.of(
                "-Xlog:class+load=info:file=" + classLog, "-cp", "target/classes", "merlinlever.cli.Main", "serve"));
        try (ServerSocket agentListener = new ServerSocket(0, 50, LOOPBACK);
                DatagramSocket directorySocket = new DatagramSocket(0, LOOPBACK)) {
            agentListener.setSoTimeout(20_000);
            Files.writeString(
                    configFile,
                    "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"agent\":\"127.0.0.1:"
                            + agentListener.getLocalPort() + "\",\"lookup\":\"127.0.0.1:"
                            + directorySocket.getLocalPort()
                            + "\",\"seed\":\"5e1f30d27a5be964\",\"stop_ms\":2000,\"limits\":{\"sockets\":40},\"settings\":{"
                            + "\"family-info\":{\"n-cores\":1,\"memory-kb\":60000,\"gauges\":[\"runnable\"],\"halt\":\"drop\"},"
                            + "\"invariants\":{\"drain-grace\":100,\"overload-factor\":8},\"services\":[{\"name\":\"look\","
                            + "\"semantics\":\"repeatable\",\"aim\":20000,\"hard-limit\":40000}]}}");
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", configFile.toString());
            Process program = builder.start();
            try {
                BufferedReader out =
                        new BufferedReader(new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
                String listening = out.readLine();
                assertTrue(
                        listening != null && listening.matches(".*:[0-9]+$"),
                        "first log line with the listening address: " + listening);
                int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
                try (Socket agent = agentListener.accept();
                        Socket edge = new Socket(LOOPBACK, port)) {
                    edge.getOutputStream()
                            .write("GET /health HTTP/1.1\r\nHost: api\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    edge.setSoTimeout(20_000);
                    assertTrue(agent.isConnected(), "the backend connects to the agent");
                    assertTrue(edge.getInputStream().read() >= 0, "an edge node receives a response");
                    assertEquals(0, program.toHandle().descendants().count(), "no child process");
                    program.destroy();
                    assertTrue(program.waitFor(20, TimeUnit.SECONDS), "the process exits after SIGTERM");
                }
            } finally {
                program.destroyForcibly().waitFor();
            }
            assertTrue(
                    Files.readString(classLog).contains(Backend.class.getName()),
                    "the log contains the loaded classes");
            assertEquals(List.of(), foreignClasses(classLog), "classes that serve must not load");
        } finally {
            Files.deleteIfExists(configFile);
            Files.deleteIfExists(classLog);
        }
    }

    /** Returns the loaded classes, by the JVM's class loading log, that {@code serve} must not load. */
    private static List<String> foreignClasses(Path log) throws IOException {
        List<String> foreign = foreignPrefixes();
        List<String> loaded = new ArrayList<>();
        for (String line : Files.readAllLines(log)) {
            int separator = line.indexOf("] ");
            String name = line.substring(separator + 2).split(" ")[0];
            if (foreign.stream().anyMatch(name::startsWith)) {
                loaded.add(name);
            }
        }
        return loaded;
    }
}
