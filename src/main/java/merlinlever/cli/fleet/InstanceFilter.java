package merlinlever.cli.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The options that select instances; an instance has to match all given options. */
final class InstanceFilter {

    @Parameters(paramLabel = "NAME", arity = "0..*", description = "names of instances")
    private List<String> names = List.of();

    @Option(names = "--host", paramLabel = "NAME", description = "instances on this host")
    private String host;

    @Option(names = "--label", paramLabel = "KEY=VALUE", description = "instances with this label; repeatable")
    private Map<String, String> labels = new LinkedHashMap<>();

    @Option(
            names = "--state",
            paramLabel = "STATE",
            description =
                    "instances in this state: down, starting, cold, warm, there, slow, hung, draining, unreached, given_up")
    private String state;

    @Option(names = "--all", description = "all instances")
    private boolean all;

    List<String> names() {
        return names;
    }

    /** Returns whether the command line contains any option that selects instances. */
    boolean isGiven() {
        return all || !names.isEmpty() || host != null || !labels.isEmpty() || state != null;
    }

    boolean matches(ReportedInstance instance) {
        return (names.isEmpty() || names.contains(instance.name()))
                && (host == null || host.equals(instance.host()))
                && (state == null
                        || state.toLowerCase(Locale.ROOT).replace('-', '_').equals(instance.state()))
                && labels.entrySet().stream()
                        .allMatch(label -> label.getValue().equals(instance.label(label.getKey())));
    }
}
