package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import merlinlever.host.state.Keeper;
import merlinlever.host.state.Roll;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators do with instances through the agents. */
@Command(name = "fleet", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "List, start, drain, stop and restart instances through their agents.",
        subcommands = {FleetCommands.ListAll.class, FleetCommands.Show.class, FleetCommands.Start.class, FleetCommands.Drain.class,
            FleetCommands.Stop.class, FleetCommands.Restart.class, FleetCommands.RollAll.class, FleetCommands.Events.class, FleetCommands.Watch.class,
            FleetCommands.Budgets.class, Recover.class})
public final class FleetCommands implements Runnable {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Spec
    private CommandSpec spec;

    @Override public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** Which agents, and how their answers are shown. */
    static final class Where {
        @Option(names = "--agent", paramLabel = "ADDRESS:PORT", required = true, description = "an agent; may come several times")
        private List<String> agents = List.of();
        @Option(names = "--secret-file", paramLabel = "FILE", required = true, description = "the secret that the agents know")
        private Path secretFile;
        @Option(names = "--output", paramLabel = "FORM", description = "table or json (default: table)")
        private Form form = Form.table;

        List<AgentClient> clients(CommandSpec spec) {
            try {
                String secret = Files.readString(secretFile).strip();
                List<AgentClient> clients = new ArrayList<>();
                for (String agent : agents) {
                    if (!agent.matches("(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}")) {
                        throw new CommandLine.ParameterException(spec.commandLine(), "--agent: expected ADDRESS:PORT, found " + agent);
                    }
                    clients.add(new AgentClient(agent, secret));
                }
                return clients;
            } catch (IOException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--secret-file: cannot be read: " + secretFile);
            }
        }
    }

    /** Which instances; all conditions have to hold. */
    static final class Which {
        @Parameters(paramLabel = "NAME", arity = "0..*", description = "instances, by name")
        private List<String> names = List.of();
        @Option(names = "--host", paramLabel = "NAME", description = "those of this machine")
        private String host;
        @Option(names = "--label", paramLabel = "KEY=VALUE", description = "those with this label; may come several times")
        private Map<String, String> labels = new LinkedHashMap<>();
        @Option(names = "--state", paramLabel = "STATE", description = "those in this state: down, starting, cold, warm, there, slow, hung, draining, unreached, given_up")
        private String state;
        @Option(names = "--all", description = "all of them")
        private boolean all;

        boolean any() {
            return all || !names.isEmpty() || host != null || !labels.isEmpty() || state != null;
        }

        boolean takes(JsonNode instance) {
            boolean takes = names.isEmpty() || names.contains(instance.path("name").asText());
            takes &= host == null || host.equals(instance.path("host").asText());
            takes &= state == null || state.toLowerCase(Locale.ROOT).replace('-', '_').equals(instance.path("state").asText());
            for (Map.Entry<String, String> label : labels.entrySet()) {
                takes &= label.getValue().equals(instance.path("labels").path(label.getKey()).asText(null));
            }
            return takes;
        }
    }

    /** The forms of output. */
    enum Form { table, json }

    /** What all commands here share. */
    abstract static class Base implements Callable<Integer> {
        @Spec
        CommandSpec spec;
        @Mixin
        Where where;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        PrintWriter err() {
            return spec.commandLine().getErr();
        }

        /** The instances of all agents that answer, and in {@code silent} those agents that do not. */
        List<JsonNode> instances(List<AgentClient> clients, List<String> silent) {
            // Of an instance that several agents tell of, the youngest report counts.
            Map<String, JsonNode> youngest = new LinkedHashMap<>();
            Map<String, Long> ages = new LinkedHashMap<>();
            Map<String, String> unknown = new LinkedHashMap<>();
            for (AgentClient client : clients) {
                AgentClient.Answer answer = client.get("/fleet");
                if (answer.status() != 200) {
                    silent.add("agent " + client.address() + ": " + answer.why());
                    continue;
                }
                for (JsonNode agent : answer.body().path("agents")) {
                    String host = agent.path("host").asText();
                    if (!agent.path("report_ms_ago").isNumber()) {
                        if (!agent.path("status").asText().equals("left")) {
                            unknown.putIfAbsent(host, "agent " + host + " at " + agent.path("api").asText() + " is " + agent.path("status").asText()
                                    + " and has not told of its instances");
                        }
                        continue;
                    }
                    long age = agent.path("report_ms_ago").asLong();
                    for (JsonNode instance : agent.path("instances")) {
                        String key = host + " " + instance.path("name").asText();
                        if (age < ages.getOrDefault(key, Long.MAX_VALUE)) {
                            ages.put(key, age);
                            youngest.put(key, ((ObjectNode) instance).put("agent", agent.path("api").asText()));
                        }
                    }
                    unknown.put(host, "");
                }
            }
            unknown.values().stream().filter(line -> !line.isEmpty()).forEach(silent::add);
            return new ArrayList<>(youngest.values());
        }

        void print(List<JsonNode> instances) {
            if (where.form == Form.json) {
                ArrayNode array = JSON.createArrayNode();
                instances.forEach(array::add);
                out().println(array.toPrettyString());
                return;
            }
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"NAME", "HOST", "STATE", "HEARD", "AGE", "PID", "HELD", "RUN", "ABOUT"});
            for (JsonNode instance : instances) {
                JsonNode told = instance.path("told");
                rows.add(new String[] {instance.path("name").asText(), instance.path("host").asText(), instance.path("state").asText(),
                    ago(instance.path("heard_ms_ago")), ago(instance.path("age_ms")), instance.path("pid").asLong() == 0 ? "-" : instance.path("pid").asText(),
                    told.path("held").asText("-"), told.path("running").asText("-"), instance.path("why").asText()});
            }
            table(rows);
        }

        void table(List<String[]> rows) {
            int[] widths = new int[rows.get(0).length];
            rows.forEach(row -> {
                for (int i = 0; i < row.length; i++) {
                    widths[i] = Math.max(widths[i], row[i].length());
                }
            });
            for (String[] row : rows) {
                StringBuilder line = new StringBuilder();
                for (int i = 0; i < row.length; i++) {
                    line.append(row[i]).append(i == row.length - 1 ? "" : " ".repeat(widths[i] - row[i].length() + 2));
                }
                out().println(line.toString().stripTrailing());
            }
            out().flush();
        }

        static String ago(JsonNode ms) {
            if (!ms.isNumber()) {
                return "-";
            }
            double seconds = ms.asLong() / 1000.0;
            return seconds < 100 ? String.format(Locale.ROOT, "%.1fs", seconds) : String.format(Locale.ROOT, "%dm", (long) seconds / 60);
        }

        int told(List<String> silent) {
            silent.forEach(err()::println);
            err().flush();
            return silent.isEmpty() ? 0 : 1;
        }
    }

    /** All instances, a line each. */
    @Command(name = "list", mixinStandardHelpOptions = true, description = "List instances with their states, and how long ago each was heard.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"0:all agents answered", "1:at least one did not", "2:wrong usage"})
    static final class ListAll extends Base {
        @Mixin
        private Which which;

        @Override public Integer call() {
            List<String> silent = new ArrayList<>();
            print(instances(where.clients(spec), silent).stream().filter(which::takes).toList());
            return told(silent);
        }
    }

    /** Everything about some. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show everything that is known of instances, as JSON.")
    static final class Show extends Base {
        @Mixin
        private Which which;

        @Override public Integer call() {
            List<String> silent = new ArrayList<>();
            List<JsonNode> found = instances(where.clients(spec), silent).stream().filter(which::takes).toList();
            found.forEach(instance -> out().println(instance.toPrettyString()));
            out().flush();
            if (found.isEmpty() && silent.isEmpty()) {
                err().println("no such instance");
                return 1;
            }
            return told(silent);
        }
    }

    /** A table that is drawn again and again. */
    @Command(name = "budgets", mixinStandardHelpOptions = true,
            description = "Show each backend's share of the limits of the whole fleet, how old that is, and the sum.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"0:all agents answered", "1:at least one did not", "2:wrong usage"})
    static final class Budgets extends Base {
        @Override public Integer call() {
            List<String> silent = new ArrayList<>();
            List<JsonNode> instances = instances(where.clients(spec), silent);
            if (where.form == Form.json) {
                ArrayNode array = JSON.createArrayNode();
                instances.forEach(instance -> instance.path("told").path("shares").forEach(share -> array.add(((ObjectNode) share.deepCopy())
                        .put("instance", instance.path("name").asText()).put("host", instance.path("host").asText())
                        .put("heard_ms_ago", instance.path("heard_ms_ago").asLong()))));
                out().println(array.toPrettyString());
                out().flush();
                return told(silent);
            }
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"BUDGET", "NAME", "HOST", "SHARE", "IN USE", "LEFT", "HEARD", "DIVIDED BY"});
            Map<String, long[]> sums = new java.util.TreeMap<>();
            for (JsonNode instance : instances) {
                for (JsonNode share : instance.path("told").path("shares")) {
                    rows.add(new String[] {share.path("name").asText(), instance.path("name").asText(), instance.path("host").asText(),
                        share.path("share").asText(), share.path("inUse").asText(), ago(share.path("leftMs")), ago(instance.path("heard_ms_ago")),
                        share.path("leader").asText().isEmpty() ? "nobody" : share.path("leader").asText() + ", term " + share.path("term").asText()});
                    long[] sum = sums.computeIfAbsent(share.path("name").asText(), none -> new long[3]);
                    sum[0] += share.path("share").asLong();
                    sum[1] = Math.max(sum[1], share.path("whole").asLong());
                    sum[2]++;
                }
            }
            table(rows);
            // Looked at one after the other; a share that moved in between is in it twice or not at all.
            sums.forEach((name, sum) -> out().println(name + ": " + sum[0] + " of " + sum[1] + " held by " + sum[2]));
            out().flush();
            return told(silent);
        }
    }

    @Command(name = "watch", mixinStandardHelpOptions = true, description = "Show the list again each second, until it is interrupted.")
    static final class Watch extends Base {
        @Mixin
        private Which which;
        @Option(names = "--times", paramLabel = "N", description = "so often, then end (default: until interrupted)")
        private int times = Integer.MAX_VALUE;

        @Override public Integer call() throws InterruptedException {
            List<AgentClient> clients = where.clients(spec);
            for (int i = 0; i < times; i++) {
                List<String> silent = new ArrayList<>();
                List<JsonNode> found = instances(clients, silent).stream().filter(which::takes).toList();
                if (where.form == Form.table && System.console() != null) {
                    out().print("\033[H\033[2J");
                }
                print(found);
                told(silent);
                if (i + 1 < times) {
                    Thread.sleep(1000);
                }
            }
            return 0;
        }
    }

    /** What happened. */
    @Command(name = "events", mixinStandardHelpOptions = true, description = "Show what has happened, oldest first.")
    static final class Events extends Base {
        @Override public Integer call() {
            List<String> silent = new ArrayList<>();
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"AGO", "HOST", "INSTANCE", "WHAT"});
            ArrayNode all = JSON.createArrayNode();
            for (AgentClient client : where.clients(spec)) {
                AgentClient.Answer answer = client.get("/events");
                if (answer.status() != 200) {
                    silent.add("agent " + client.address() + ": " + answer.why());
                    continue;
                }
                for (JsonNode event : answer.body().path("events")) {
                    double ago = (answer.body().path("now_ms").asLong() - event.path("at_ms").asLong()) / 1000.0;
                    rows.add(new String[] {String.format(Locale.ROOT, "%.1fs", ago), answer.body().path("host").asText(), event.path("instance").asText(),
                        event.path("what").asText()});
                    all.add(((ObjectNode) event).put("host", answer.body().path("host").asText()));
                }
            }
            if (where.form == Form.json) {
                out().println(all.toPrettyString());
            } else {
                table(rows);
            }
            return told(silent);
        }
    }

    /** What the orders share. */
    abstract static class Ordering extends Base {
        @Mixin
        Which which;
        @Option(names = "--wait", description = "until it has happened, or cannot")
        boolean wait;
        @Option(names = "--timeout", paramLabel = "SECONDS", description = "for --wait (default: 120)")
        int timeout = 120;
        @Option(names = "--dry-run", description = "show which instances it would be and order nothing")
        boolean dryRun;
        @Option(names = "--id", paramLabel = "ID", description = "of the order; sent again under the same id it is not done again")
        String id;

        abstract String verb();

        boolean now() {
            return false;
        }

        /** Whether the person agrees; asked before anything is ordered. */
        boolean agreed(List<JsonNode> chosen) {
            return true;
        }

        @Override public Integer call() throws InterruptedException {
            if (!which.any()) {
                throw new CommandLine.ParameterException(spec.commandLine(), "Which instances? Give names, --host, --label, --state or --all.");
            }
            List<AgentClient> clients = where.clients(spec);
            List<String> silent = new ArrayList<>();
            List<JsonNode> chosen = instances(clients, silent).stream().filter(which::takes).toList();
            for (String name : which.names) {
                if (chosen.stream().noneMatch(instance -> instance.path("name").asText().equals(name))) {
                    silent.add("no instance " + name + " is known" + (silent.isEmpty() ? "" : " to the agents that answered"));
                }
            }
            if (!silent.isEmpty()) {
                // Part of what was asked for cannot be seen to: nothing of it is begun.
                told(silent);
                err().println("nothing was ordered");
                return 1;
            }
            if (chosen.isEmpty()) {
                err().println("no instance fits; nothing was ordered");
                return 1;
            }
            if (dryRun) {
                chosen.forEach(instance -> out().println("would " + verb() + " " + instance.path("name").asText() + " (" + instance.path("state").asText() + ")"));
                out().flush();
                return 0;
            }
            if (!agreed(chosen)) {
                err().println("nothing was ordered");
                return 1;
            }
            String base = id == null ? UUID.randomUUID().toString() : id;
            Map<String, List<JsonNode>> byAgent = chosen.stream().collect(Collectors.groupingBy(i -> i.path("agent").asText(), LinkedHashMap::new, Collectors.toList()));
            Map<AgentClient, JsonNode> orders = new LinkedHashMap<>();
            boolean well = true;
            for (String address : byAgent.keySet()) {
                AgentClient client = clients.get(0).at(address);
                ObjectNode order = JSON.createObjectNode().put("id", base).put("verb", verb()).put("now", now());
                ArrayNode names = order.putArray("names");
                byAgent.get(client.address()).forEach(instance -> names.add(instance.path("name").asText()));
                AgentClient.Answer answer = client.order(order);
                if (answer.status() == 200) {
                    orders.put(client, answer.body());
                } else {
                    well = false;
                    err().println("agent " + client.address() + ": " + answer.why() + (answer.status() == 0 ? "; whether it took the order is not known, send it again with --id " + base : ""));
                }
            }
            return follow(orders, base) && well ? 0 : 1;
        }

        private boolean follow(Map<AgentClient, JsonNode> orders, String base) throws InterruptedException {
            long end = System.nanoTime() + Duration.ofSeconds(timeout).toNanos();
            Map<String, String> shown = new LinkedHashMap<>();
            while (true) {
                boolean over = true;
                for (Map.Entry<AgentClient, JsonNode> entry : orders.entrySet()) {
                    for (JsonNode instance : entry.getValue().path("instances")) {
                        String line = instance.path("end").asText().equals("under way") ? "under way, " + instance.path("state").asText()
                                + (instance.path("state").asText().equals("draining") ? " (" + instance.path("why").asText() + ")" : "") : instance.path("end").asText();
                        if (!line.equals(shown.put(instance.path("name").asText(), line))) {
                            out().println(instance.path("name").asText() + ": " + verb() + " " + line);
                        }
                    }
                    over &= entry.getValue().path("over").asBoolean();
                }
                out().flush();
                if (over || !wait || System.nanoTime() > end) {
                    if (wait && !over) {
                        err().println("not over after " + timeout + " s; it goes on. Look again with --id " + base);
                    }
                    boolean done = true;
                    for (JsonNode order : orders.values()) {
                        for (JsonNode instance : order.path("instances")) {
                            done &= instance.path("end").asText().equals("done") || !wait && instance.path("end").asText().equals("under way");
                        }
                    }
                    return done;
                }
                Thread.sleep(200);
                orders.replaceAll((client, order) -> {
                    AgentClient.Answer answer = client.get("/orders/" + base);
                    return answer.status() == 200 ? answer.body() : order;
                });
            }
        }
    }

    /** Wanted. */
    @Command(name = "start", mixinStandardHelpOptions = true, description = "Start instances. With --wait until they serve.")
    static final class Start extends Ordering {
        @Override String verb() {
            return "start";
        }
    }

    /** Not wanted any more, in good order. */
    @Command(name = "drain", mixinStandardHelpOptions = true, description = "Tell instances to leave: they answer what they have read, then end.")
    static final class Drain extends Ordering {
        @Override String verb() {
            return "drain";
        }
    }

    /** Not wanted any more. */
    @Command(name = "stop", mixinStandardHelpOptions = true,
            description = "Stop instances. One that still answers what it has read is waited for, but with --now.")
    static final class Stop extends Ordering {
        @Option(names = "--now", description = "end them at once; says how many operations are lost by it and asks")
        private boolean now;
        @Option(names = "--yes", description = "with --now: do not ask")
        private boolean yes;

        @Override String verb() {
            return "stop";
        }

        @Override boolean now() {
            return now;
        }

        @Override boolean agreed(List<JsonNode> chosen) {
            if (!now) {
                return true;
            }
            int lost = chosen.stream().mapToInt(instance -> instance.path("told").path("inHand").asInt()).sum();
            long unknown = chosen.stream().filter(instance -> instance.path("told").isNull() && instance.path("pid").asLong() != 0).count();
            out().println(lost + " operations are in hand and would be lost" + (unknown == 0 ? "" : "; of " + unknown + " instances it is not known"));
            out().flush();
            if (yes) {
                return true;
            }
            if (System.console() == null) {
                err().println("nobody can be asked here; say --yes");
                return false;
            }
            return "yes".equals(System.console().readLine("Stop them at once? Type yes: "));
        }
    }

    /** Out and in again. */
    @Command(name = "restart", mixinStandardHelpOptions = true, description = "Drain instances and start them again. With --wait until they serve.")
    static final class Restart extends Ordering {
        @Override String verb() {
            return "restart";
        }
    }

    /** Restarts in batches, for as long as all goes well. */
    @Command(name = "roll", mixinStandardHelpOptions = true,
            description = "Restart instances in batches: one machine at a time, never more than a part of the fleet away, on only when successors are warm "
                + "and callers are not worse off. Interrupted or stopped, it says what was done and begins nothing more.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"0:all were restarted and serve", "1:it was stopped; the reason is told", "2:wrong usage"})
    static final class RollAll extends Base {
        @Mixin
        private Which which;
        @Option(names = "--batch", paramLabel = "N", description = "restarted at once at the most (default: 1)")
        private int batch = 1;
        @Option(names = "--most-away", paramLabel = "PERCENT", description = "of the instances seen that may be away at once, for whatever reason (default: 20)")
        private int mostAway = 20;
        @Option(names = "--warm-within", paramLabel = "SECONDS", description = "after its restart an instance has to be warm (default: 120)")
        private int warmWithin = 120;
        @Option(names = "--watch", paramLabel = "SECONDS", description = "callers are watched so long before the first batch and behind each (default: 5)")
        private int watch = 5;
        @Option(names = "--worse", paramLabel = "TIMES", description = "stop where so many times as many are turned away as before (default: 2)")
        private double worse = 2;
        @Option(names = "--dry-run", description = "show which instances it would be, in their order, and restart nothing")
        private boolean dryRun;

        private volatile Roll roll;

        private static Roll.Seen seen(JsonNode instance) {
            JsonNode told = instance.path("told");
            long turnedAway = told.path("brokenOff").asLong();
            for (JsonNode count : told.path("pushedBack")) {
                turnedAway += count.asLong();
            }
            return new Roll.Seen(instance.path("name").asText(), instance.path("host").asText(),
                    Keeper.State.valueOf(instance.path("state").asText().toUpperCase(Locale.ROOT)), instance.path("launches").asLong(), turnedAway);
        }

        private void tellDone() {
            out().println(roll.done().size() + " done, " + roll.inHand().size() + " restarted and not serving yet" + (roll.inHand().isEmpty() ? "" : " ("
                    + String.join(", ", roll.inHand()) + ")") + ", " + roll.todo().size() + " not begun");
            out().flush();
        }

        @Override public Integer call() throws InterruptedException {
            if (!which.any() || batch < 1 || mostAway < 0 || mostAway > 100 || warmWithin < 1 || watch < 0 || worse < 1) {
                throw new CommandLine.ParameterException(spec.commandLine(), !which.any() ? "Which instances? Give names, --host, --label, --state or --all."
                        : "--batch and --warm-within are 1 or more, --most-away 0 to 100, --watch 0 or more, --worse 1 or more");
            }
            List<AgentClient> clients = where.clients(spec);
            List<String> silent = new ArrayList<>();
            List<JsonNode> chosen = new ArrayList<>(instances(clients, silent).stream().filter(which::takes).toList());
            chosen.sort((a, b) -> (a.path("host").asText() + " " + a.path("name").asText()).compareTo(b.path("host").asText() + " " + b.path("name").asText()));
            if (!silent.isEmpty() || chosen.isEmpty()) {
                told(silent);
                err().println(chosen.isEmpty() ? "no instance fits; nothing was begun" : "nothing was begun");
                return 1;
            }
            if (dryRun) {
                chosen.forEach(instance -> out().println("would restart " + instance.path("name").asText() + " on " + instance.path("host").asText() + " ("
                        + instance.path("state").asText() + ")"));
                out().flush();
                return 0;
            }
            roll = new Roll(new Roll.Stated(batch, mostAway / 100.0, Duration.ofSeconds(warmWithin), Duration.ofSeconds(watch), worse),
                    chosen.stream().map(instance -> instance.path("name").asText()).toList());
            Thread interrupted = new Thread(this::tellDone);
            Runtime.getRuntime().addShutdownHook(interrupted);
            long began = System.nanoTime();
            String shown = "";
            while (roll.phase() != Roll.Phase.DONE && roll.phase() != Roll.Phase.STOPPED) {
                List<JsonNode> fleet = instances(clients, new ArrayList<>());
                List<String> next = fleet.isEmpty() ? List.of() : roll.settle(Duration.ofNanos(System.nanoTime() - began), fleet.stream().map(RollAll::seen).toList());
                if (!next.isEmpty()) {
                    out().println("restarting " + String.join(", ", next) + "; " + roll.done().size() + " of " + chosen.size() + " done");
                    out().flush();
                    if (!order(clients.get(0), fleet, next)) {
                        tellDone();
                        Runtime.getRuntime().removeShutdownHook(interrupted);
                        return 1;
                    }
                } else if (!roll.why().equals(shown)) {
                    shown = roll.why();
                    out().println(shown.isEmpty() ? roll.done().size() + " of " + chosen.size() + " done" : shown);
                    out().flush();
                }
                Thread.sleep(300);
            }
            Runtime.getRuntime().removeShutdownHook(interrupted);
            if (roll.phase() == Roll.Phase.STOPPED) {
                err().println("stopped: " + roll.why());
                err().flush();
            }
            tellDone();
            return roll.phase() == Roll.Phase.DONE ? 0 : 1;
        }

        private boolean order(AgentClient any, List<JsonNode> fleet, List<String> names) {
            // All of a batch are of one machine, and so of one agent.
            String agent = fleet.stream().filter(each -> each.path("name").asText().equals(names.get(0))).findFirst().orElseThrow().path("agent").asText();
            ObjectNode order = JSON.createObjectNode().put("id", UUID.randomUUID().toString()).put("verb", "restart").put("now", false);
            names.forEach(order.putArray("names")::add);
            AgentClient.Answer answer = any.at(agent).order(order);
            if (answer.status() != 200) {
                err().println("agent " + agent + ": " + answer.why() + "; stopped");
                err().flush();
            }
            return answer.status() == 200;
        }
    }
}
