package merlinlever.cli.zone;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import merlinlever.cli.LoggingSetup;
import merlinlever.config.ConfigFile;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.record.MalformedDnsException;
import merlinlever.zone.record.ResourceRecord;
import merlinlever.zone.state.Difference;
import merlinlever.zone.state.Zone;
import merlinlever.zone.text.ZoneFile;
import merlinlever.zone.wire.Tsig;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What the program does with DNS zones. */
@Command(
        name = "zone",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "DNS zones: read, compare, serve, update, and follow the live fleet.",
        subcommands = {
            ZoneCommands.ZoneCheckCommand.class,
            ZoneCommands.ZoneDiffCommand.class,
            ZoneCommands.ZoneApplyCommand.class,
            ZoneCommands.ZoneServeCommand.class,
            ZoneCommands.ZoneFollowCommand.class
        })
public final class ZoneCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** What several commands share. */
    abstract static class ZoneSubcommand implements Callable<Integer> {
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
                return text == null ? null : DomainNames.absolute(text);
            } catch (MalformedDnsException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--origin: " + e.getMessage());
            }
        }
    }

    /** Reads zone files and tells their faults. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Read zone files as zone serve would. One line for each good one; the faults go to standard error.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:all are good", "1:at least one is not", "2:wrong usage"})
    static final class ZoneCheckCommand extends ZoneSubcommand {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "zone files")
        private List<Path> files;

        @Option(
                names = "--origin",
                paramLabel = "NAME",
                description = "the zone that is expected, and what relative names stand below; else the file says it")
        private String origin;

        @Override
        public Integer call() {
            int status = 0;
            for (Path file : files) {
                try {
                    out().println(summary(ZoneFile.read(file, origin(origin))));
                } catch (ZoneFile.InvalidZoneFileException e) {
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
        return DomainNames.text(zone.origin()) + ": serial " + zone.serial() + ", " + zone.records() + " records, "
                + zone.names().size() + " names";
    }

    /** Compares two zone files by what they say. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Compare two zone files by the records that they hold, whatever their order and form.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:they say the same", "1:they differ", "2:one cannot be read"})
    static final class ZoneDiffCommand extends ZoneSubcommand {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path old;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path made;

        @Option(names = "--origin", paramLabel = "NAME", description = "the zone, where the files do not say it")
        private String origin;

        @Override
        public Integer call() {
            Zone before;
            Zone after;
            try {
                before = ZoneFile.read(old, origin(origin));
                after = ZoneFile.read(made, origin == null ? before.origin() : origin(origin));
            } catch (ZoneFile.InvalidZoneFileException e) {
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

        private void print(String sign, List<ResourceRecord> records, boolean soa) {
            records.stream().skip(soa ? 0 : 1).forEach(rec -> out().println(sign + rec));
        }
    }

    /** Serves zones until it is told to leave. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "Serve zones: queries, transfers and signed updates over UDP and TCP. Ends with 143 after SIGTERM.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "1:it cannot start; the reason is on standard error",
                "2:wrong usage",
                "143:told to leave, all was answered"
            })
    static final class ZoneServeCommand extends ZoneSubcommand {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "YAML; 'config schema zone-serve' prints its form")
        private Path file;

        @Option(names = "--log", paramLabel = "FORM", description = "text or json (default: text)")
        private LoggingSetup.LogFormat form = LoggingSetup.LogFormat.text;

        @Override
        public Integer call() {
            LoggingSetup.start(form);
            try {
                new ZoneServerProcess(ConfigFile.read(file, "zone-serve")).run();
                return 0;
            } catch (ConfigFile.InvalidConfigFileException e) {
                err().println(e.getMessage());
                return 1;
            }
        }
    }

    /** Brings a live zone to what a file says. */
    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            description =
                    "Bring a live zone to what a file says, by signed updates: fetch it, show what differs, send it in batches, look again.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "0:the live zone says what the file says (with --dry-run: the plan is shown)",
                "1:it does not; what was done is told",
                "2:wrong usage"
            })
    static final class ZoneApplyCommand extends ZoneSubcommand {
        @Parameters(paramLabel = "FILE", description = "zone file")
        private Path file;

        @Option(names = "--server", required = true, paramLabel = "ADDRESS:PORT", description = "the zone's primary")
        private String server;

        @Option(
                names = "--key",
                paramLabel = "NAME:FILE",
                description = "name of a key, and the file with its secret in base64")
        private String key;

        @Option(
                names = "--algorithm",
                paramLabel = "NAME",
                description = "of the key: hmac-sha224, -sha256 (default), -sha384, -sha512")
        private String algorithm = "hmac-sha256";

        @Option(names = "--origin", paramLabel = "NAME", description = "the zone, where the file does not say it")
        private String origin;

        @Option(names = "--dry-run", description = "show what would change and change nothing")
        private boolean dryRun;

        @Option(names = "--timeout", paramLabel = "SECONDS", description = "for each answer, 1 to 300 (default: 10)")
        private int timeout = 10;

        @Override
        public Integer call() {
            InetSocketAddress at;
            Tsig.TsigKey with;
            try {
                at = ZoneConfigParser.address(server);
                int colon = key == null ? -1 : key.indexOf(':');
                if (key != null && colon < 1) {
                    throw new MalformedDnsException("--key: expected NAME:FILE, found " + key);
                }
                if (timeout < 1 || timeout > 300) {
                    throw new MalformedDnsException("--timeout: expected 1 to 300, found " + timeout);
                }
                with = key == null
                        ? null
                        : ZoneConfigParser.key(key.substring(0, colon), algorithm, Path.of(key.substring(colon + 1)));
            } catch (MalformedDnsException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
            }
            Zone wanted;
            try {
                wanted = ZoneFile.read(file, origin(origin));
            } catch (ZoneFile.InvalidZoneFileException e) {
                e.faults().forEach(err()::println);
                return 1;
            }
            return new ZoneApplyRunner(wanted, file, at, with, Duration.ofSeconds(timeout), dryRun, out(), err()).run();
        }
    }

    /** Keeps a name on the live instances. */
    @Command(
            name = "follow",
            mixinStandardHelpOptions = true,
            description =
                    "Keep a name in a zone on the instances that report to be alive. Ends with 143 after SIGTERM.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"1:it cannot start; the reason is on standard error", "2:wrong usage", "143:told to leave"})
    static final class ZoneFollowCommand extends ZoneSubcommand {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "YAML; 'config schema zone-follow' prints its form")
        private Path file;

        @Option(names = "--log", paramLabel = "FORM", description = "text or json (default: text)")
        private LoggingSetup.LogFormat form = LoggingSetup.LogFormat.text;

        @Override
        public Integer call() {
            LoggingSetup.start(form);
            try {
                new ZoneFollowerProcess(ConfigFile.read(file, "zone-follow")).run();
                return 0;
            } catch (ConfigFile.InvalidConfigFileException e) {
                err().println(e.getMessage());
                return 1;
            }
        }
    }
}
