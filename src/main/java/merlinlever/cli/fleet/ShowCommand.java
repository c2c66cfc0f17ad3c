package merlinlever.cli.fleet;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code fleet show}: shows all reported details of the selected instances. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Show all reported details of instances, as JSON.")
final class ShowCommand extends FleetSubcommand {

    @Mixin
    private InstanceFilter filter;

    @Override
    public Integer call() {
        FleetSnapshot fleet = FleetSnapshot.read(clients());
        List<ReportedInstance> selected = fleet.matching(filter);
        selected.forEach(instance -> out().println(instance.json().toPrettyString()));
        out().flush();
        if (selected.isEmpty() && fleet.problems().isEmpty()) {
            err().println("no such instance");
            return 1;
        }
        return report(fleet.problems());
    }
}
