package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import merlinlever.common.WireNamed;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
import merlinlever.host.state.RollingRestart;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * {@code fleet roll}: a rolling restart that continues only while restarted instances warm up and rejections do not
 * rise.
 */
@Command(
        name = "roll",
        mixinStandardHelpOptions = true,
        description =
                "Rolling restart: restart instances in batches, one machine at a time, with a limit on unavailable instances; continue "
                        + "only once restarted instances are warm and rejections have not risen. If interrupted or stopped, "
                        + "report what was done and start nothing more.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:all instances were restarted and serve", "1:stopped; the reason is printed", "2:wrong usage"
        })
final class RollCommand extends FleetSubcommand {

    private static final Duration POLL_PERIOD = Duration.ofMillis(300);
    private static final int DEFAULT_MAX_UNAVAILABLE_PERCENT = 20;
    private static final int DEFAULT_WARM_UP_TIMEOUT_SECONDS = 120;
    private static final int DEFAULT_OBSERVATION_SECONDS = 5;
    private static final int ALL_PERCENT = 100;

    @Mixin
    private InstanceFilter filter;

    @Option(names = "--batch", paramLabel = "N", description = "instances restarted at a time (default: 1)")
    private int batchSize = 1;

    @Option(
            names = "--most-away",
            paramLabel = "PERCENT",
            description = "maximum share of instances unavailable at a time, for any reason (default: 20)")
    private int maxUnavailablePercent = DEFAULT_MAX_UNAVAILABLE_PERCENT;

    @Option(
            names = "--warm-within",
            paramLabel = "SECONDS",
            description = "time limit for a restarted instance to become warm (default: 120)")
    private int warmUpTimeoutSeconds = DEFAULT_WARM_UP_TIMEOUT_SECONDS;

    @Option(
            names = "--watch",
            paramLabel = "SECONDS",
            description = "how long rejections are measured before the first batch and after each (default: 5)")
    private int observationSeconds = DEFAULT_OBSERVATION_SECONDS;

    @Option(
            names = "--worse",
            paramLabel = "TIMES",
            description = "stop if the rejection rate rises by more than this factor (default: 2)")
    private double maxRejectionRatio = 2;

    @Option(names = "--dry-run", description = "show the selected instances in restart order and restart nothing")
    private boolean dryRun;

    /** Also read by the shutdown hook. */
    private volatile RollingRestart rollingRestart;

    @Override
    public Integer call() throws InterruptedException {
        checkOptions();
        List<AgentClient> clients = clients();
        FleetSnapshot fleet = FleetSnapshot.read(clients);
        List<ReportedInstance> selected = new ArrayList<>(fleet.matching(filter));
        selected.sort(Comparator.comparing(instance -> instance.host() + " " + instance.name()));
        if (!fleet.problems().isEmpty() || selected.isEmpty()) {
            report(fleet.problems());
            err().println(
                            selected.isEmpty()
                                    ? "no instance matches; no restart was started"
                                    : "no restart was started");
            return 1;
        }
        if (dryRun) {
            selected.forEach(instance -> out().println("would restart " + instance.name() + " on " + instance.host()
                    + " (" + instance.state() + ")"));
            out().flush();
            return 0;
        }
        rollingRestart = new RollingRestart(
                new RollingRestart.RollingRestartSettings(
                        batchSize,
                        maxUnavailablePercent / (double) ALL_PERCENT,
                        Duration.ofSeconds(warmUpTimeoutSeconds),
                        Duration.ofSeconds(observationSeconds),
                        maxRejectionRatio),
                selected.stream().map(ReportedInstance::name).toList());
        Thread summaryAtInterrupt = new Thread(this::printSummary);
        Runtime.getRuntime().addShutdownHook(summaryAtInterrupt);
        boolean ordersAccepted = restartAll(clients, selected.size());
        Runtime.getRuntime().removeShutdownHook(summaryAtInterrupt);
        if (rollingRestart.phase() == RollingRestart.RolloutPhase.STOPPED) {
            err().println("stopped: " + rollingRestart.reason());
            err().flush();
        }
        printSummary();
        return ordersAccepted && rollingRestart.phase() == RollingRestart.RolloutPhase.DONE ? 0 : 1;
    }

    private void checkOptions() {
        if (!filter.isGiven()) {
            throw new CommandLine.ParameterException(
                    spec().commandLine(), "no instances selected: give names, --host, --label, --state or --all");
        }
        if (batchSize < 1
                || maxUnavailablePercent < 0
                || maxUnavailablePercent > ALL_PERCENT
                || warmUpTimeoutSeconds < 1
                || observationSeconds < 0
                || maxRejectionRatio < 1) {
            throw new CommandLine.ParameterException(
                    spec().commandLine(),
                    "--batch and --warm-within must be 1 or more, --most-away 0 to 100, --watch 0 or more, --worse 1 or more");
        }
    }

    /**
     * Restarts batch by batch until the rolling restart is over, or returns false once an agent does not accept an
     * order.
     */
    private boolean restartAll(List<AgentClient> clients, int total) throws InterruptedException {
        long startNanos = System.nanoTime();
        String printedReason = "";
        while (!rollingRestart.isOver()) {
            List<ReportedInstance> instances = FleetSnapshot.read(clients).instances();
            List<String> nextBatch = instances.isEmpty()
                    ? List.of()
                    : rollingRestart.nextBatch(
                            Duration.ofNanos(System.nanoTime() - startNanos),
                            instances.stream().map(RollCommand::observation).toList());
            String doneSoFar = rollingRestart.completed().size() + " of " + total + " done";
            if (!nextBatch.isEmpty()) {
                out().println("restarting " + String.join(", ", nextBatch) + "; " + doneSoFar);
                out().flush();
                if (!orderRestart(clients.get(0), instances, nextBatch)) {
                    return false;
                }
            } else if (!rollingRestart.reason().equals(printedReason)) {
                printedReason = rollingRestart.reason();
                out().println(printedReason.isEmpty() ? doneSoFar : printedReason);
                out().flush();
            }
            Thread.sleep(POLL_PERIOD.toMillis());
        }
        return true;
    }

    private static RollingRestart.InstanceObservation observation(ReportedInstance instance) {
        long rejections = instance.status().path("brokenOff").asLong();
        for (JsonNode count : instance.status().path("pushedBack")) {
            rejections += count.asLong();
        }
        return new RollingRestart.InstanceObservation(
                instance.name(),
                instance.host(),
                WireNamed.parse(InstanceSupervisor.InstanceState.class, instance.state()),
                instance.launches(),
                rejections);
    }

    private boolean orderRestart(AgentClient anyClient, List<ReportedInstance> instances, List<String> batch) {
        // All instances of a batch run on one machine and have the same agent.
        String agent = instances.stream()
                .filter(instance -> instance.name().equals(batch.get(0)))
                .findFirst()
                .orElseThrow()
                .agent();
        AgentOrder order = new AgentOrder(UUID.randomUUID().toString(), OrderTracker.OrderVerb.RESTART, false, batch);
        AgentClient.AgentResponse response = anyClient.forAgent(agent).order(order);
        if (!response.isOk()) {
            err().println("agent " + agent + ": " + response.failure() + "; the rolling restart is stopped");
            err().flush();
        }
        return response.isOk();
    }

    private void printSummary() {
        List<String> restarting = rollingRestart.restarting();
        String names = restarting.isEmpty() ? "" : " (" + String.join(", ", restarting) + ")";
        out().println(rollingRestart.completed().size() + " done, " + restarting.size()
                + " restarted and not serving yet" + names + ", "
                + rollingRestart.pending().size() + " not begun");
        out().flush();
    }
}
