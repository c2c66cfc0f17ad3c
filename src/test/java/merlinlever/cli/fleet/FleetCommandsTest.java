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
import merlinlever.faults.process.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Forty real instances under four real agents, seen through the commands and audited by the process table: what is reported
 * has to be so, or to say that it is old.
 */
class FleetCommandsTest {

    private static final int AGENTS = 4;
    private static final int EACH = Integer.getInteger("fleet.each", 10);
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path folder;

    private final Process[] agents = new Process[AGENTS];
    private final int[] ports = new int[AGENTS];
    private final int[] gossip = new int[AGENTS];

    private void describe(int agent, int manage) throws IOException {
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
                                ports[agent],
                                agent,
                                gossip[agent],
                                gossip[0],
                                gossip[1],
                                agent,
                                EACH,
                                manage,
                                agent < 2 ? "west" : "east",
                                Path.of(System.getProperty("java.home"), "bin", "java"),
                                System.getProperty("java.class.path"),
                                folder.resolve("mode"),
                                manage));
    }

    private void launch(int agent) throws IOException {
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
    private Map<String, Long> table(Set<String> stopped) throws IOException {
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

    private String said;

    private int fleet(String... words) {
        List<String> args = new ArrayList<>(List.of(
                "fleet",
                words[0],
                "--agent",
                "127.0.0.1:" + ports[asked],
                "--secret-file",
                folder.resolve("secret").toString()));
        args.addAll(Arrays.asList(words).subList(1, words.length));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = Commands.start(new PrintWriter(out), new PrintWriter(err), args.toArray(new String[0]));
        said = out + "\n" + err;
        listed = out.toString();
        return status;
    }

    private String listed;
    private int asked;

    private Map<String, JsonNode> list() throws IOException {
        fleet("list", "--output", "json");
        Map<String, JsonNode> list = new TreeMap<>();
        JSON.readTree(listed).forEach(each -> list.put(each.path("name").asText(), each));
        return list;
    }

    private Map<String, JsonNode> await(String what, long seconds, Predicate<Map<String, JsonNode>> holds)
            throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        Map<String, JsonNode> list = list();
        while (!holds.test(list)) {
            if (System.nanoTime() > end) {
                StringBuilder lines = new StringBuilder();
                list.values().forEach(each -> lines.append(each.path("name").asText())
                        .append(' ')
                        .append(each.path("state").asText())
                        .append(' ')
                        .append(each.path("why").asText())
                        .append('\n'));
                throw new AssertionError("not after " + seconds + " s: " + what + "\n" + lines + said);
            }
            Thread.sleep(200);
            list = list();
            audit(list);
        }
        return list;
    }

    /** No state says what the process table says is not so. A moment of looking on either side is allowed for. */
    private void audit(Map<String, JsonNode> list) throws Exception {
        Set<String> stoppedBefore = new HashSet<>();
        Map<String, Long> before = table(stoppedBefore);
        Map<String, JsonNode> now = list();
        Set<String> stoppedAfter = new HashSet<>();
        Map<String, Long> after = table(stoppedAfter);
        for (JsonNode each : now.values()) {
            String name = each.path("name").asText();
            String state = each.path("state").asText();
            boolean there = before.containsKey(name) && before.get(name).equals(after.get(name));
            boolean gone = !before.containsKey(name) && !after.containsKey(name);
            if (there && !state.equals("unreached")) {
                assertTrue(
                        (!state.equals("down") && !state.equals("given_up"))
                                || (each.path("age_ms").isNull() && wasYoung(before.get(name))),
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

    private static boolean wasYoung(long pid) {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().startInstant())
                .map(at -> at.isAfter(java.time.Instant.now().minusSeconds(3)))
                .orElse(true);
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
    }

    private static boolean all(Map<String, JsonNode> list, String state) {
        return list.size() == AGENTS * EACH
                && list.values().stream()
                        .allMatch(each -> each.path("state").asText().equals(state));
    }

    private static String state(Map<String, JsonNode> list, String name) {
        return list.containsKey(name) ? list.get(name).path("state").asText() : "";
    }

    @AfterEach
    void end() throws Exception {
        for (Process agent : agents) {
            if (agent != null) {
                agent.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
        for (long pid : table(new HashSet<>()).values()) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    @Test
    void whatIsReportedIsSoThroughKillsStopsDrainsAndTheDeathOfAnAgent() throws Exception {
        for (int i = 0; i < AGENTS; i++) {
            ports[i] = PortAllocator.free();
            gossip[i] = PortAllocator.free();
        }
        int manage = PortAllocator.free(AGENTS * EACH);
        for (int i = 0; i < AGENTS; i++) {
            describe(i, manage + i * EACH);
            launch(i);
        }
        long end = System.nanoTime() + 20_000_000_000L;
        while (fleet("list") != 0 && System.nanoTime() < end) {
            Thread.sleep(200);
        }
        // Any agent answers for all machines.
        for (asked = AGENTS - 1; asked >= 0; asked--) {
            await("all warm, asked agent " + asked, 40, list -> all(list, "warm"));
        }
        asked = 0;
        assertEquals(AGENTS * EACH, table(new HashSet<>()).size());
        // One dies, one is stopped.
        Map<String, Long> before = table(new HashSet<>());
        justEnded.add("t1-1");
        signal("KILL", before.get("t1-1"));
        signal("STOP", before.get("t2-2"));
        await("t2-2 not reached", 10, list -> state(list, "t2-2").equals("unreached"));
        await(
                "t1-1 warm again",
                15,
                list -> state(list, "t1-1").equals("warm")
                        && list.get("t1-1").path("launches").asInt() == 2);
        justEnded.clear();
        signal("CONT", before.get("t2-2"));
        await("all warm", 10, list -> all(list, "warm"));
        // A drain of a zone, by the agent that is asked, at two others.
        assertEquals(0, fleet("drain", "--label", "zone=east", "--wait"), said);
        Map<String, JsonNode> drained = list();
        drained.values()
                .forEach(each -> assertEquals(
                        each.path("labels").path("zone").asText().equals("east") ? "down" : "warm",
                        each.path("state").asText()));
        assertEquals(2 * EACH, table(new HashSet<>()).size());
        assertEquals(0, fleet("start", "--state", "down", "--wait"), said);
        await("all warm", 20, list -> all(list, "warm"));
        // A stopped agent and a dead one: their instances are not reached since then, and run on.
        Map<String, Long> running = table(new HashSet<>());
        signal("STOP", agents[3].pid());
        agents[2].destroyForcibly().waitFor();
        await(
                "two agents not reached",
                20,
                list -> list.size() == AGENTS * EACH
                        && list.values().stream().allMatch(each -> each.path("state")
                                .asText()
                                .equals(each.path("host").asText().compareTo("m2") < 0 ? "warm" : "unreached")));
        assertEquals(1, fleet("drain", "t3-1"), "an order to an agent that cannot be reached is not taken for done");
        signal("CONT", agents[3].pid());
        launch(2);
        await("all warm", 30, list -> all(list, "warm"));
        assertEquals(running, table(new HashSet<>()), "none was launched beside itself, none was lost");
        // A restart of one machine, in one command.
        assertEquals(0, fleet("restart", "--host", "m1", "--wait"), said);
        Map<String, Long> restarted = table(new HashSet<>());
        running.forEach((name, pid) -> assertEquals(!name.startsWith("t1-"), pid.equals(restarted.get(name)), name));
        // A roll of two more, batch by batch; then one of a version that crashes, which stops behind its first batch.
        assertEquals(0, fleet("roll", "t0-1", "t0-2", "t3-1", "--watch", "1"), said);
        Map<String, Long> rolled = table(new HashSet<>());
        restarted.forEach((name, pid) ->
                assertEquals(!List.of("t0-1", "t0-2", "t3-1").contains(name), pid.equals(rolled.get(name)), name));
        Files.writeString(folder.resolve("mode"), "crash");
        assertEquals(1, fleet("roll", "--host", "m0", "--watch", "1", "--warm-within", "30"), said);
        assertTrue(
                said.contains("stopped: t0-1 ")
                        && said.contains(
                                "0 done, 1 restarted and not serving yet (t0-1), " + (EACH - 1) + " not begun"),
                said);
        Files.writeString(folder.resolve("mode"), "0");
        assertEquals(0, fleet("start", "t0-1", "--wait"), said);
        assertEquals(1, fleet("stop", "no-such-instance"));
        assertEquals(2, fleet("stop"));
        assertEquals(0, fleet("stop", "--all", "--now", "--yes", "--wait"), said);
        assertTrue(said.contains(AGENTS * EACH * 5 + " operations are in hand"), said);
        assertEquals(0, table(new HashSet<>()).size());
    }
}
