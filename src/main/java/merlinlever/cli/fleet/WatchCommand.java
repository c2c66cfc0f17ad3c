package merlinlever.cli.fleet;

import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code fleet watch}: prints the list of instances every second. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "List instances every second until interrupted.")
final class WatchCommand extends FleetSubcommand {

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final String CLEAR_SCREEN = "\033[H\033[2J";

    @Mixin
    private InstanceFilter filter;

    @Option(names = "--times", paramLabel = "N", description = "number of times (default: until interrupted)")
    private int times = Integer.MAX_VALUE;

    @Override
    public Integer call() throws InterruptedException {
        List<AgentClient> clients = clients();
        for (int i = 0; i < times; i++) {
            FleetSnapshot fleet = FleetSnapshot.read(clients);
            if (!printsJson() && System.console() != null) {
                out().print(CLEAR_SCREEN);
            }
            print(fleet.matching(filter));
            report(fleet.problems());
            if (i + 1 < times) {
                Thread.sleep(PERIOD.toMillis());
            }
        }
        return 0;
    }
}
