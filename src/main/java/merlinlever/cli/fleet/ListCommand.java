package merlinlever.cli.fleet;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code fleet list}: lists the selected instances, one per line. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "List instances with their states and the age of their last report.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:all agents responded", "1:at least one agent did not respond", "2:wrong usage"})
final class ListCommand extends FleetSubcommand {

    @Mixin
    private InstanceFilter filter;

    @Override
    public Integer call() {
        FleetSnapshot fleet = FleetSnapshot.read(clients());
        print(fleet.matching(filter));
        return report(fleet.problems());
    }
}
