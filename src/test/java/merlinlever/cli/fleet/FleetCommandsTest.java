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
 * Forty real instances under four real agents, seen through the commands and audited by the process table: what is reported
 * has to be so, or to say that it is old.
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

    private void writeConfiguration(int agent, int manage) throws IOException {
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
                                manage,
                                agent < 2 ? "west" : "east",
                                Path.of(System.getProperty("java.home"), "bin", "java"),
                                System.getProperty("java.class.path"),
                                folder.resolve("mode"),
                                manage));
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

    /** The auditor's view: pid and name of each instance's process that is not stopped, and of those that are. */
    private Map<String, Long> processTable(Set<String> stopped) throws IOException {
        Map<String, Long> table = new TreeMap<>();
        try (var all = Files.list(Path.of("/proc"))) {
            for (Path each : all.filter(path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList()) {
                try {
                    String line = Files.readString(each.resolve("cmdline"), StandardCharsets.ISO_8859_1);
                    String stat = Files.readString(each.resolve("stat"), StandardCharsets.ISO_8859_1);
                    char state = stat.charAt(stat.lastIndexOf(')') + 2);
                    if (line.contains("FakeInstance")
                            && line.contains(folder.toString())
                            && state != 'Z'
                            && state != 'X') {
                        String name = Files.readSymbolicLink(each.resolve("cwd"))
                                .getFileName()
                                .toString();
                        assertTrue(
                                table.put(
                                                name,
                                                Long.parseLong(
                                                        each.getFileName().toString()))
                                        == null,
                                name + " is there twice");
                        if (state == 'T') {
                            stopped.add(name);
                        }
                    }
                } catch (IOException e) {
                    // Gone meanwhile.
                }
            }
        }
        return table;
    }

    private String output;

    private int runFleetCommand(String... words) {
        List<String> args = new ArrayList<>(List.of(
                "fleet",
                words[0],
                "--agent",
                "127.0.0.1:" + apiPorts[askedAgent],
                "--secret-file",
                folder.resolve("secret").toString()));
        args.addAll(Arrays.asList(words).subList(1, words.length));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = Commands.start(new PrintWriter(out), new PrintWriter(err), args.toArray(new String[0]));
        output = out + "\n" + err;
        standardOutput = out.toString();
        return status;
    }

    private String standardOutput;
    private int askedAgent;

    private Map<String, JsonNode> listInstances() throws IOException {
        runFleetCommand("list", "--output", "json");
        Map<String, JsonNode> list = new TreeMap<>();
        JSON.readTree(standardOutput).forEach(each -> list.put(each.path("name").asText(), each));
        return list;
    }

    private Map<String, JsonNode> awaitInstances(String what, long seconds, Predicate<Map<String, JsonNode>> holds)
            throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        Map<String, JsonNode> list = listInstances();
        while (!holds.test(list)) {
            if (System.nanoTime() > end) {
                StringBuilder lines = new StringBuilder();
                list.values().forEach(each -> lines.append(each.path("name").asText())
                        .append(' ')
                        .append(each.path("state").asText())
                        .append(' ')
                        .append(each.path("why").asText())
                        .append('\n'));
                throw new AssertionError("not after " + seconds + " s: " + what + "\n" + lines + output);
            }
            Thread.sleep(200);
            list = listInstances();
            audit();
        }
        return list;
    }

    /** No state says what the process table says is not so. A moment of looking on either side is allowed for. */
    private void audit() throws Exception {
        Set<String> stoppedBefore = new HashSet<>();
        Map<String, Long> before = processTable(stoppedBefore);
        Map<String, JsonNode> now = listInstances();
        Set<String> stoppedAfter = new HashSet<>();
        Map<String, Long> after = processTable(stoppedAfter);
        for (JsonNode each : now.values()) {
            String name = each.path("name").asText();
            String state = each.path("state").asText();
            boolean there = before.containsKey(name) && before.get(name).equals(after.get(name));
            boolean gone = !before.containsKey(name) && !after.containsKey(name);
            if (there && !state.equals("unreached")) {
                assertTrue(
                        (!state.equals("down") && !state.equals("given_up"))
                                || (each.path("age_ms").isNull() && isYoung(before.get(name))),
                        name + " is said to be " + state + " and its process " + before.get(name) + " is there");
            }
            if (gone) {
                // What ended within the last look of the agent may still be shown as it was, with its age.
                assertTrue(
                        !List.of("warm", "slow", "cold").contains(state) || justEnded.contains(name),
                        name + " is said to be " + state + " and no process is there");
            }
        }
    }

    private final Set<String> justEnded = new HashSet<>();

    private static boolean isYoung(long pid) {
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
                        .allMatch(each -> each.path("state").asText().equals(state));
    }

    private static String state(Map<String, JsonNode> list, String name) {
        return list.containsKey(name) ? list.get(name).path("state").asText() : "";
    }

    @AfterEach
    void endProcesses() throws Exception {
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
    void reportedStatesAreTrueThroughKillsStopsDrainsAndTheLossOfAnAgent() throws Exception {
        startAllAgents();
        killOneInstanceAndStopAnother();
        drainAndStartAZone();
        Map<String, Long> running = stopOneAgentAndKillAnother();
        Map<String, Long> restarted = restartAMachine(running);
        rollInstances(restarted);
        assertEquals(1, runFleetCommand("stop", "no-such-instance"));
        assertEquals(2, runFleetCommand("stop"));
        assertEquals(0, runFleetCommand("stop", "--all", "--now", "--yes", "--wait"), output);
        assertTrue(output.contains(AGENTS * INSTANCES_PER_AGENT * 5 + " operations are in hand"), output);
        assertEquals(0, processTable(new HashSet<>()).size());
    }

    private void startAllAgents() throws Exception {
        for (int i = 0; i < AGENTS; i++) {
            apiPorts[i] = PortAllocator.free();
            membershipPorts[i] = PortAllocator.free();
        }
        int manage = PortAllocator.free(AGENTS * INSTANCES_PER_AGENT);
        for (int i = 0; i < AGENTS; i++) {
            writeConfiguration(i, manage + i * INSTANCES_PER_AGENT);
            launchAgent(i);
        }
        long end = System.nanoTime() + 20_000_000_000L;
        while (runFleetCommand("list") != 0 && System.nanoTime() < end) {
            Thread.sleep(200);
        }
        // Any agent answers for all machines.
        for (askedAgent = AGENTS - 1; askedAgent >= 0; askedAgent--) {
            awaitInstances("all warm, asked agent " + askedAgent, 40, list -> allHaveState(list, "warm"));
        }
        askedAgent = 0;
        assertEquals(AGENTS * INSTANCES_PER_AGENT, processTable(new HashSet<>()).size());
    }

    private void killOneInstanceAndStopAnother() throws Exception {
        Map<String, Long> before = processTable(new HashSet<>());
        justEnded.add("t1-1");
        signal("KILL", before.get("t1-1"));
        signal("STOP", before.get("t2-2"));
        awaitInstances("t2-2 not reached", 10, list -> state(list, "t2-2").equals("unreached"));
        awaitInstances(
                "t1-1 warm again",
                15,
                list -> state(list, "t1-1").equals("warm")
                        && list.get("t1-1").path("launches").asInt() == 2);
        justEnded.clear();
        signal("CONT", before.get("t2-2"));
        awaitInstances("all warm", 10, list -> allHaveState(list, "warm"));
    }

    /** By one agent, at two others. */
    private void drainAndStartAZone() throws Exception {
        assertEquals(0, runFleetCommand("drain", "--label", "zone=east", "--wait"), output);
        Map<String, JsonNode> drained = listInstances();
        drained.values()
                .forEach(each -> assertEquals(
                        each.path("labels").path("zone").asText().equals("east") ? "down" : "warm",
                        each.path("state").asText()));
        assertEquals(2 * INSTANCES_PER_AGENT, processTable(new HashSet<>()).size());
        assertEquals(0, runFleetCommand("start", "--state", "down", "--wait"), output);
        awaitInstances("all warm", 20, list -> allHaveState(list, "warm"));
    }

    /** Their instances are not reached since then, and run on; returns the processes of all. */
    private Map<String, Long> stopOneAgentAndKillAnother() throws Exception {
        Map<String, Long> running = processTable(new HashSet<>());
        signal("STOP", agents[3].pid());
        agents[2].destroyForcibly().waitFor();
        awaitInstances(
                "two agents not reached",
                20,
                list -> list.size() == AGENTS * INSTANCES_PER_AGENT
                        && list.values().stream().allMatch(each -> each.path("state")
                                .asText()
                                .equals(each.path("host").asText().compareTo("m2") < 0 ? "warm" : "unreached")));
        assertEquals(
                1,
                runFleetCommand("drain", "t3-1"),
                "an order to an agent that cannot be reached is not taken for done");
        signal("CONT", agents[3].pid());
        launchAgent(2);
        awaitInstances("all warm", 30, list -> allHaveState(list, "warm"));
        assertEquals(running, processTable(new HashSet<>()), "none was launched beside itself, none was lost");
        return running;
    }

    private Map<String, Long> restartAMachine(Map<String, Long> running) throws Exception {
        assertEquals(0, runFleetCommand("restart", "--host", "m1", "--wait"), output);
        Map<String, Long> restarted = processTable(new HashSet<>());
        running.forEach((name, pid) -> assertEquals(!name.startsWith("t1-"), pid.equals(restarted.get(name)), name));
        return restarted;
    }

    /** Three of them batch by batch; then a version that crashes, which stops behind its first batch. */
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
