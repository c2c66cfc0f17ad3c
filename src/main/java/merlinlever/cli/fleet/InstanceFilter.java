package merlinlever.cli.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The options that select instances; an instance has to fulfil all that are given. */
final class InstanceFilter {

    @Parameters(paramLabel = "NAME", arity = "0..*", description = "instances, by name")
    private List<String> names = List.of();

    @Option(names = "--host", paramLabel = "NAME", description = "those of this machine")
    private String host;

    @Option(names = "--label", paramLabel = "KEY=VALUE", description = "those with this label; may come several times")
    private Map<String, String> labels = new LinkedHashMap<>();

    @Option(
            names = "--state",
            paramLabel = "STATE",
            description =
                    "those in this state: down, starting, cold, warm, there, slow, hung, draining, unreached, given_up")
    private String state;

    @Option(names = "--all", description = "all of them")
    private boolean all;

    List<String> names() {
        return names;
    }

    /** Whether the command line says anything about which instances are meant. */
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
