package merlinlever.cli.fleet;

import java.io.Console;
import java.util.List;
import merlinlever.host.state.OrderTracker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fleet stop}: stops instances with a drain, or immediately once the operator confirms the loss of requests. */
@Command(
        name = "stop",
        mixinStandardHelpOptions = true,
        description = "Stop instances; waits until requests in flight have finished, except with --now.")
final class StopCommand extends OrderCommand {

    @Option(
            names = "--now",
            description = "stop immediately; asks for confirmation with the number of requests that fail")
    private boolean now;

    @Option(names = "--yes", description = "with --now: skip the confirmation")
    private boolean yes;

    StopCommand() {
        super(OrderTracker.OrderVerb.STOP);
    }

    @Override
    boolean isImmediate() {
        return now;
    }

    @Override
    boolean isConfirmed(List<ReportedInstance> selected) {
        if (!now) {
            return true;
        }
        int lostRequests = selected.stream()
                .mapToInt(instance -> instance.status().path("inHand").asInt())
                .sum();
        long silentInstances = selected.stream()
                .filter(instance -> instance.status().isNull() && instance.processId() != 0)
                .count();
        String unknown = silentInstances == 0 ? "" : "; unknown for " + silentInstances + " further instances";
        out().println(lostRequests + " requests are in flight and would be lost" + unknown);
        out().flush();
        if (yes) {
            return true;
        }
        Console console = System.console();
        if (console == null) {
            err().println("no console for the confirmation; use --yes");
            return false;
        }
        return "yes".equals(console.readLine("Stop the instances immediately? Type yes: "));
    }
}
