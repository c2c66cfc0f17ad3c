package merlinlever.cli.zone;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import merlinlever.cli.Logging;
import merlinlever.sheet.Sheet;
import merlinlever.zone.record.Malformed;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rec;
import merlinlever.zone.state.Difference;
import merlinlever.zone.state.Zone;
import merlinlever.zone.text.ZoneFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What the program does with DNS zones. */
@Command(name = "zone", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "DNS zones: read, compare, serve, update, and follow the live fleet.",
        subcommands = {ZoneCommands.Check.class, ZoneCommands.Diff.class, ZoneCommands.ServeZones.class})
public final class ZoneCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** What several commands share. */
    abstract static class Base implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        PrintWriter err() {
            return spec.commandLine().getErr();
        }

        /** The origin as it was given, or null; a bad one is bad usage. */
        byte[] origin(String text) {
            try {
                return text == null ? null : Names.absolute(text);
            } catch (Malformed e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--origin: " + e.getMessage());
            }
        }
    }

    /** Reads zone files and tells their faults. */
    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Read zone files as zone serve would. One line for each good one; the faults go to standard error.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"0:all are good", "1:at least one is not", "2:wrong usage"})
    static final class Check extends Base {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "zone files")
        private List<Path> files;
        @Option(names = "--origin", paramLabel = "NAME",
                description = "the zone that is expected, and what relative names stand below; else the file says it")
        private String origin;

        @Override public Integer call() {
            int status = 0;
            for (Path file : files) {
                try {
                    out().println(summary(ZoneFile.read(file, origin(origin))));
                } catch (ZoneFile.Rejected e) {
                    e.faults().forEach(err()::println);
                    status = 1;
                }
                out().flush();
                err().flush();
            }
            return status;
        }
    }

    static String summary(Zone zone) {
        return Names.text(zone.origin()) + ": serial " + zone.serial() + ", " + zone.records() + " records, "
                + zone.names().size() + " names";
    }

    /** Compares two zone files by what they say. */
    @Command(name = "diff", mixinStandardHelpOptions = true,
            description = "Compare two zone files by the records that they hold, whatever their order and form.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"0:they say the same", "1:they differ", "2:one cannot be read"})
    static final class Diff extends Base {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path old;
        @Parameters(index = "1", paramLabel = "NEW")
        private Path made;
        @Option(names = "--origin", paramLabel = "NAME", description = "the zone, where the files do not say it")
        private String origin;

        @Override public Integer call() {
            Zone before;
            Zone after;
            try {
                before = ZoneFile.read(old, origin(origin));
                after = ZoneFile.read(made, origin == null ? before.origin() : origin(origin));
            } catch (ZoneFile.Rejected e) {
                e.faults().forEach(err()::println);
                return 2;
            }
            Difference difference = Difference.between(before, after);
            boolean soa = !difference.removed().get(0).equals(difference.added().get(0));
            print("- ", difference.removed(), soa);
            print("+ ", difference.added(), soa);
            out().flush();
            return soa || difference.records() > 2 ? 1 : 0;
        }

        private void print(String sign, List<Rec> records, boolean soa) {
            records.stream().skip(soa ? 0 : 1).forEach(rec -> out().println(sign + rec));
        }
    }

    /** Serves zones until it is told to leave. */
    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Serve zones: queries, transfers and signed updates over UDP and TCP. Ends with 143 after SIGTERM.",
            exitCodeListHeading = "%nExit status:%n", exitCodeList = {"1:it cannot start; the reason is on standard error",
                "2:wrong usage", "143:told to leave, all was answered"})
    static final class ServeZones extends Base {
        @Option(names = "--config", required = true, paramLabel = "FILE", description = "YAML; 'config schema zone-serve' prints its form")
        private Path file;
        @Option(names = "--log", paramLabel = "FORM", description = "text or json (default: text)")
        private Logging.Form form = Logging.Form.text;

        @Override public Integer call() {
            Logging.start(form);
            try {
                new ZoneServer(Sheet.read(file, "zone-serve")).run();
                return 0;
            } catch (Sheet.Unusable e) {
                err().println(e.getMessage());
                return 1;
            }
        }
    }
}
