package merlinlever.cli.dns;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import merlinlever.cli.service.ServiceCommand;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.Zone;
import merlinlever.dns.text.ZoneFile;
import merlinlever.dns.wire.Tsig;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The group of commands about DNS zones. */
@Command(
        name = "zone",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "DNS zones: check, compare, serve and update zones, and keep a name on live instances.",
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

    /** What the commands that read zone files and then end have in common. */
    abstract static class ZoneSubcommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        final PrintWriter out() {
            return spec.commandLine().getOut();
        }

        final PrintWriter err() {
            return spec.commandLine().getErr();
        }

        final CommandLine.ParameterException wrongUsage(String reason) {
            return new CommandLine.ParameterException(spec.commandLine(), reason);
        }

        /** The option's value as a domain name; null where it is not given, for the file to say it. */
        final byte[] origin(String option) {
            try {
                return option == null ? null : DomainNames.absolute(option);
            } catch (MalformedDnsException e) {
                throw wrongUsage("--origin: " + e.getMessage());
            }
        }
    }

    /** {@code zone check}: reads zone files and reports their faults. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Parse zone files as 'zone serve' does; prints one line per valid file, and errors to standard error.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:all files are valid", "1:at least one file is invalid", "2:wrong usage"})
    static final class ZoneCheckCommand extends ZoneSubcommand {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "zone files")
        private List<Path> files;

        @Option(
                names = "--origin",
                paramLabel = "NAME",
                description = "expected zone and origin of relative names (default: as in the file)")
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

    /** One line about a zone for people. */
    static String summary(Zone zone) {
        return DomainNames.text(zone.origin()) + ": serial " + zone.serial() + ", " + zone.records() + " records, "
                + zone.names().size() + " names";
    }

    /** {@code zone diff}: compares two zone files by their records. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Compare the records of two zone files, regardless of order and format.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:same records", "1:records differ", "2:a file cannot be read"})
    static final class ZoneDiffCommand extends ZoneSubcommand {
        /** The SOA records of both sides are in every difference. */
        private static final int MIN_RECORDS = 2;

        @Parameters(index = "0", paramLabel = "OLD")
        private Path oldFile;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path newFile;

        @Option(names = "--origin", paramLabel = "NAME", description = "zone name, if the files do not contain it")
        private String origin;

        @Override
        public Integer call() {
            Zone before;
            Zone after;
            try {
                before = ZoneFile.read(oldFile, origin(origin));
                after = ZoneFile.read(newFile, origin == null ? before.origin() : origin(origin));
            } catch (ZoneFile.InvalidZoneFileException e) {
                e.faults().forEach(err()::println);
                return 2;
            }
            Difference difference = Difference.between(before, after);
            boolean soaDiffers =
                    !difference.removed().get(0).equals(difference.added().get(0));
            print("- ", difference.removed(), soaDiffers);
            print("+ ", difference.added(), soaDiffers);
            out().flush();
            return soaDiffers || difference.records() > MIN_RECORDS ? 1 : 0;
        }

        private void print(String sign, List<ResourceRecord> records, boolean withSoa) {
            records.stream().skip(withSoa ? 0 : 1).forEach(dnsRecord -> out().println(sign + dnsRecord));
        }
    }

    /** {@code zone serve}: serves zones until SIGTERM. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "Serve zones: queries, transfers and signed updates over UDP and TCP. Exits with 143 after SIGTERM.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "1:startup failed; the reason is on standard error",
                "2:wrong usage",
                "143:terminated by SIGTERM; all requests were answered"
            })
    static final class ZoneServeCommand extends ServiceCommand {
        @Override
        protected ConfigSchema schema() {
            return ConfigSchema.ZONE_SERVE;
        }

        @Override
        protected void run(ConfigFile config) throws InvalidConfigFileException {
            new ZoneServerProcess(config).run();
        }
    }

    /** {@code zone apply}: brings a live zone to the content of a file. */
    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            description =
                    "Update a live zone to match a zone file: transfer it, show the differences, send signed updates in batches, verify.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "0:the live zone matches the file (with --dry-run: the differences were shown)",
                "1:it does not match; what was done is printed",
                "2:wrong usage"
            })
    static final class ZoneApplyCommand extends ZoneSubcommand {
        private static final int MAX_TIMEOUT_SECONDS = 300;

        @Parameters(paramLabel = "FILE", description = "zone file")
        private Path file;

        @Option(
                names = "--server",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "primary server of the zone")
        private String server;

        @Option(
                names = "--key",
                paramLabel = "NAME:FILE",
                description = "TSIG key: its name, and the file with its secret in base64")
        private String key;

        @Option(
                names = "--algorithm",
                paramLabel = "NAME",
                description = "TSIG algorithm: hmac-sha224, -sha256 (default), -sha384, -sha512")
        private String algorithm = "hmac-sha256";

        @Option(names = "--origin", paramLabel = "NAME", description = "zone name, if the file does not contain it")
        private String origin;

        @Option(names = "--dry-run", description = "show the differences and change nothing")
        private boolean dryRun;

        @Option(
                names = "--timeout",
                paramLabel = "SECONDS",
                description = "timeout of each response, 1 to 300 (default: 10)")
        private int timeoutSeconds = 10;

        @Override
        public Integer call() {
            ZoneApplyRunner.Target target;
            try {
                InetSocketAddress address = ZoneConfigParser.address(server);
                Optional<Tsig.TsigKey> tsigKey = tsigKey();
                if (timeoutSeconds < 1 || timeoutSeconds > MAX_TIMEOUT_SECONDS) {
                    throw wrongUsage("--timeout: expected 1 to 300, found " + timeoutSeconds);
                }
                target = new ZoneApplyRunner.Target(address, tsigKey, Duration.ofSeconds(timeoutSeconds));
            } catch (MalformedDnsException e) {
                throw wrongUsage(e.getMessage());
            }
            Zone wanted;
            try {
                wanted = ZoneFile.read(file, origin(origin));
            } catch (ZoneFile.InvalidZoneFileException e) {
                e.faults().forEach(err()::println);
                return 1;
            }
            return new ZoneApplyRunner(wanted, file, target, dryRun, out(), err()).run();
        }

        private Optional<Tsig.TsigKey> tsigKey() throws MalformedDnsException {
            if (key == null) {
                return Optional.empty();
            }
            int colon = key.indexOf(':');
            if (colon < 1) {
                throw new MalformedDnsException("--key: expected NAME:FILE, found " + key);
            }
            return Optional.of(
                    ZoneConfigParser.key(key.substring(0, colon), algorithm, Path.of(key.substring(colon + 1))));
        }
    }

    /** {@code zone follow}: keeps a domain name on the live instances until SIGTERM. */
    @Command(
            name = "follow",
            mixinStandardHelpOptions = true,
            description = "Keep the addresses of a DNS name on the live instances. Exits with 143 after SIGTERM.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "1:startup failed; the reason is on standard error",
                "2:wrong usage",
                "143:terminated by SIGTERM"
            })
    static final class ZoneFollowCommand extends ServiceCommand {
        @Override
        protected ConfigSchema schema() {
            return ConfigSchema.ZONE_FOLLOW;
        }

        @Override
        protected void run(ConfigFile config) throws InvalidConfigFileException {
            new ZoneFollowerProcess(config).run();
        }
    }
}
