package merlinlever.cli.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import merlinlever.cli.Commands;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the commands against four agent processes with forty instance processes and compares the reported states with
 * the process table. Guards against reports of wrong states that are not marked as outdated.
 */
class FleetCommandsTest {

    private static final int AGENTS = 4;
    private static final int INSTANCES_PER_AGENT = Integer.getInteger("fleet.each", 10);
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path folder;

    private final Process[] agents = new Process[AGENTS];
    private final int[] apiPorts = new int[AGENTS];
    private final int[] membershipPorts = new int[AGENTS];

    private void writeConfiguration(int agent, int firstManagementPort) throws IOException {
        Files.writeString(folder.resolve("secret"), "a-secret-of-16-or-more");
        Files.writeString(folder.resolve("mode"), "0");
        Files.writeString(
                folder.resolve("m" + agent + ".yaml"),
                """
                name: m%d
                listen: 127.0.0.1:%d
                state: state-%d
                secret-file: secret
                stop: 1s
                members: {listen: "127.0.0.1:%d", seeds: ["127.0.0.1:%d", "127.0.0.1:%d"]}
                kinds:
                  - name: t%d
                    count: %d
                    manage: 127.0.0.1:%d
                    labels: {zone: %s}
                    command: ["%s", -XX:TieredStopAtLevel=1, -XX:+UseSerialGC, -Xmx24m, -cp, "%s", merlinlever.host.run.FakeInstance, "{port}", "%s"]
                    ports: {port: %d}
                """
                        .formatted(
                                agent,
                                apiPorts[agent],
                                agent,
                                membershipPorts[agent],
                                membershipPorts[0],
                                membershipPorts[1],
                                agent,
                                INSTANCES_PER_AGENT,
                                firstManagementPort,
                                agent < 2 ? "west" : "east",
                                Path.of(System.getProperty("java.home"), "bin", "java"),
                                System.getProperty("java.class.path"),
                                folder.resolve("mode"),
                                firstManagementPort));
    }

    private void launchAgent(int agent) throws IOException {
        agents[agent] = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-Xmx128m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "merlinlever.cli.Main",
                        "host",
                        "run",
                        "--config",
                        folder.resolve("m" + agent + ".yaml").toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("m" + agent + ".log").toFile()))
                .start();
    }

    /**
     * Returns the pid of each instance's process from the process table; adds the names of those stopped by a
     * signal.
     */
    private Map<String, Long> processTable(Set<String> stopped) throws IOException {
        Map<String, Long> table = new TreeMap<>();
        try (var all = Files.list(Path.of("/proc"))) {
            for (Path process : all.filter(path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList()) {
                try {
                    String line = Files.readString(process.resolve("cmdline"), StandardCharsets.ISO_8859_1);
                    String stat = Files.readString(process.resolve("stat"), StandardCharsets.ISO_8859_1);
                    char state = stat.charAt(stat.lastIndexOf(')') + 2);
                    if (line.contains("FakeInstance")
                            && line.contains(folder.toString())
                            && state != 'Z'
                            && state != 'X') {
                        String name = Files.readSymbolicLink(process.resolve("cwd"))
                                .getFileName()
                                .toString();
                        assertTrue(
                                table.put(
                                                name,
                                                Long.parseLong(
                                                        process.getFileName().toString()))
                                        == null,
                                name + " has two processes");
                        if (state == 'T') {
                            stopped.add(name);
                        }
                    }
                } catch (IOException e) {
                    // The process has ended meanwhile.
                }
            }
        }
        return table;
    }

    private String output;

    private int runFleetCommand(String... arguments) {
        List<String> args = new ArrayList<>(List.of(
                "fleet",
                arguments[0],
                "--agent",
                "127.0.0.1:" + apiPorts[queriedAgent],
                "--secret-file",
                folder.resolve("secret").toString()));
        args.addAll(Arrays.asList(arguments).subList(1, arguments.length));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = Commands.start(new PrintWriter(out), new PrintWriter(err), args.toArray(new String[0]));
        output = out + "\n" + err;
        standardOutput = out.toString();
        return status;
    }

    private String standardOutput;
    private int queriedAgent;

    private Map<String, JsonNode> listInstances() throws IOException {
        runFleetCommand("list", "--output", "json");
        Map<String, JsonNode> list = new TreeMap<>();
        JSON.readTree(standardOutput)
                .forEach(instance -> list.put(instance.path("name").asText(), instance));
        return list;
    }

    private Map<String, JsonNode> awaitInstances(
            String description, long seconds, Predicate<Map<String, JsonNode>> condition) throws Exception {
        long deadline = System.nanoTime() + seconds * 1_000_000_000L;
        Map<String, JsonNode> list = listInstances();
        while (!condition.test(list)) {
            if (System.nanoTime() > deadline) {
                StringBuilder lines = new StringBuilder();
                list.values()
                        .forEach(instance -> lines.append(instance.path("name").asText())
                                .append(' ')
                                .append(instance.path("state").asText())
                                .append(' ')
                                .append(instance.path("why").asText())
                                .append('\n'));
                throw new AssertionError(
                        "condition not met after " + seconds + " s: " + description + "\n" + lines + output);
            }
            Thread.sleep(200);
            list = listInstances();
            audit();
        }
        return list;
    }

    /** Asserts that no reported state contradicts the process tables read before and after the report. */
    private void audit() throws Exception {
        Set<String> stoppedBefore = new HashSet<>();
        Map<String, Long> before = processTable(stoppedBefore);
        Map<String, JsonNode> reported = listInstances();
        Set<String> stoppedAfter = new HashSet<>();
        Map<String, Long> after = processTable(stoppedAfter);
        for (JsonNode instance : reported.values()) {
            String name = instance.path("name").asText();
            String state = instance.path("state").asText();
            boolean isRunning = before.containsKey(name) && before.get(name).equals(after.get(name));
            boolean hasEnded = !before.containsKey(name) && !after.containsKey(name);
            if (isRunning && !state.equals("unreached")) {
                assertTrue(
                        (!state.equals("down") && !state.equals("given_up"))
                                || (instance.path("age_ms").isNull() && isRecentlyStarted(before.get(name))),
                        name + " is reported as " + state + " but its process " + before.get(name) + " runs");
            }
            if (hasEnded) {
                // An instance that ended after the agent's last check may still be reported in its previous state.
                assertTrue(
                        !List.of("warm", "slow", "cold").contains(state) || recentlyEnded.contains(name),
                        name + " is reported as " + state + " but has no process");
            }
        }
    }

    private final Set<String> recentlyEnded = new HashSet<>();

    private static boolean isRecentlyStarted(long pid) {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().startInstant())
                .map(at -> at.isAfter(java.time.Instant.now().minusSeconds(3)))
                .orElse(true);
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
    }

    private static boolean allHaveState(Map<String, JsonNode> list, String state) {
        return list.size() == AGENTS * INSTANCES_PER_AGENT
                && list.values().stream()
                        .allMatch(instance -> instance.path("state").asText().equals(state));
    }

    private static String state(Map<String, JsonNode> list, String name) {
        return list.containsKey(name) ? list.get(name).path("state").asText() : "";
    }

    @AfterEach
    void killProcesses() throws Exception {
        for (Process agent : agents) {
            if (agent != null) {
                agent.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
        for (long pid : processTable(new HashSet<>()).values()) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    @Test
    void reportedStatesMatchProcessesThroughKillsStopsDrainsAndAgentFailures() throws Exception {
        startAllAgents();
        killOneInstanceAndStopAnother();
        drainAndStartAZone();
        Map<String, Long> running = stopOneAgentAndKillAnother();
        Map<String, Long> restarted = restartAMachine(running);
        rollInstances(restarted);
        assertEquals(1, runFleetCommand("stop", "no-such-instance"));
        assertEquals(2, runFleetCommand("stop"));
        assertEquals(0, runFleetCommand("stop", "--all", "--now", "--yes", "--wait"), output);
        assertTrue(output.contains(AGENTS * INSTANCES_PER_AGENT * 5 + " requests are in flight"), output);
        assertEquals(0, processTable(new HashSet<>()).size());
    }

    private void startAllAgents() throws Exception {
        for (int i = 0; i < AGENTS; i++) {
            apiPorts[i] = PortAllocator.free();
            membershipPorts[i] = PortAllocator.free();
        }
        int firstManagementPort = PortAllocator.free(AGENTS * INSTANCES_PER_AGENT);
        for (int i = 0; i < AGENTS; i++) {
            writeConfiguration(i, firstManagementPort + i * INSTANCES_PER_AGENT);
            launchAgent(i);
        }
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (runFleetCommand("list") != 0 && System.nanoTime() < deadline) {
            Thread.sleep(200);
        }
        // Every agent reports the instances of all machines.
        for (queriedAgent = AGENTS - 1; queriedAgent >= 0; queriedAgent--) {
            awaitInstances("all warm, queried agent " + queriedAgent, 40, list -> allHaveState(list, "warm"));
        }
        queriedAgent = 0;
        assertEquals(AGENTS * INSTANCES_PER_AGENT, processTable(new HashSet<>()).size());
    }

    private void killOneInstanceAndStopAnother() throws Exception {
        Map<String, Long> before = processTable(new HashSet<>());
        recentlyEnded.add("t1-1");
        signal("KILL", before.get("t1-1"));
        signal("STOP", before.get("t2-2"));
        awaitInstances("t2-2 unreached", 10, list -> state(list, "t2-2").equals("unreached"));
        awaitInstances(
                "t1-1 warm again",
                15,
                list -> state(list, "t1-1").equals("warm")
                        && list.get("t1-1").path("launches").asInt() == 2);
        recentlyEnded.clear();
        signal("CONT", before.get("t2-2"));
        awaitInstances("all warm", 10, list -> allHaveState(list, "warm"));
    }

    /** Sends the orders through one agent to two other agents. */
    private void drainAndStartAZone() throws Exception {
        assertEquals(0, runFleetCommand("drain", "--label", "zone=east", "--wait"), output);
        Map<String, JsonNode> drained = listInstances();
        drained.values()
                .forEach(instance -> assertEquals(
                        instance.path("labels").path("zone").asText().equals("east") ? "down" : "warm",
                        instance.path("state").asText()));
        assertEquals(2 * INSTANCES_PER_AGENT, processTable(new HashSet<>()).size());
        assertEquals(0, runFleetCommand("start", "--state", "down", "--wait"), output);
        awaitInstances("all warm", 20, list -> allHaveState(list, "warm"));
    }

    /** Checks that the instances of unreachable agents are unreached and continue to run; returns all processes. */
    private Map<String, Long> stopOneAgentAndKillAnother() throws Exception {
        Map<String, Long> running = processTable(new HashSet<>());
        signal("STOP", agents[3].pid());
        agents[2].destroyForcibly().waitFor();
        awaitInstances(
                "two agents unreached",
                20,
                list -> list.size() == AGENTS * INSTANCES_PER_AGENT
                        && list.values().stream().allMatch(instance -> instance.path("state")
                                .asText()
                                .equals(instance.path("host").asText().compareTo("m2") < 0 ? "warm" : "unreached")));
        assertEquals(1, runFleetCommand("drain", "t3-1"), "an order to an unreachable agent fails");
        signal("CONT", agents[3].pid());
        launchAgent(2);
        awaitInstances("all warm", 30, list -> allHaveState(list, "warm"));
        assertEquals(running, processTable(new HashSet<>()), "no instance was launched twice or lost");
        return running;
    }

    private Map<String, Long> restartAMachine(Map<String, Long> running) throws Exception {
        assertEquals(0, runFleetCommand("restart", "--host", "m1", "--wait"), output);
        Map<String, Long> restarted = processTable(new HashSet<>());
        running.forEach((name, pid) -> assertEquals(!name.startsWith("t1-"), pid.equals(restarted.get(name)), name));
        return restarted;
    }

    /** Restarts three instances batch by batch; then rolls out a crashing version, which stops at its first batch. */
    private void rollInstances(Map<String, Long> restarted) throws Exception {
        assertEquals(0, runFleetCommand("roll", "t0-1", "t0-2", "t3-1", "--watch", "1"), output);
        Map<String, Long> rolled = processTable(new HashSet<>());
        restarted.forEach((name, pid) ->
                assertEquals(!List.of("t0-1", "t0-2", "t3-1").contains(name), pid.equals(rolled.get(name)), name));
        Files.writeString(folder.resolve("mode"), "crash");
        assertEquals(1, runFleetCommand("roll", "--host", "m0", "--watch", "1", "--warm-within", "30"), output);
        assertTrue(
                output.contains("stopped: t0-1 ")
                        && output.contains("0 done, 1 restarted and not serving yet (t0-1), "
                                + (INSTANCES_PER_AGENT - 1) + " not begun"),
                output);
        Files.writeString(folder.resolve("mode"), "0");
        assertEquals(0, runFleetCommand("start", "t0-1", "--wait"), output);
    }
}
