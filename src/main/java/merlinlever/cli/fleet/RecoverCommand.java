package merlinlever.cli.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.common.storage.StateDirectory;
import merlinlever.fleet.recovery.Finding;
import merlinlever.fleet.recovery.LoadedState;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.PersistedStateAssessor;
import merlinlever.fleet.recovery.TrustedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;
import merlinlever.host.disk.InstanceLedger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code fleet recover}: reports which parts of a state folder a restarted process would trust. Read-only. */
@Command(
        name = "recover",
        mixinStandardHelpOptions = true,
        description =
                "After a power loss, before anything is started: report for each state directory what is recovered from it, what is "
                        + "discarded, and why.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:everything can be recovered", "1:something is discarded or cannot be read", "2:wrong usage"})
final class RecoverCommand implements Callable<Integer> {

    private static final String LOCK_FILE = "lock";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--state",
            paramLabel = "DIR",
            required = true,
            arity = "1..*",
            description = "state directory of a host agent or a backend; repeatable")
    private List<Path> folders = List.of();

    @Option(
            names = "--owner",
            paramLabel = "NAME@ADDRESS:PORT",
            description = "expected owner of the directories (default: the owner recorded in each)")
    private String expectedOwner;

    @Override
    public Integer call() {
        if (expectedOwner != null && !expectedOwner.matches("[!-~]+@[!-~]+")) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--owner: expected NAME@ADDRESS:PORT, found " + expectedOwner);
        }
        boolean areAllTrusted = true;
        for (Path folder : folders) {
            areAllTrusted &= assess(folder);
        }
        out().flush();
        err().flush();
        return areAllTrusted ? 0 : 1;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** Prints the assessment of a state folder and returns whether the whole state is trusted. */
    private boolean assess(Path folder) {
        if (!Files.isDirectory(folder)) {
            err().println(folder + ": no such folder");
            return false;
        }
        try (StateDirectory directory = new FileStateDirectory(folder)) {
            out().println(folder);
            boolean isStateTrusted = assessState(directory);
            return assessLedger(directory) && isStateTrusted;
        } catch (IOException e) {
            String hint = Files.exists(folder.resolve(LOCK_FILE))
                    ? "; a running process reported its recovered state when it started"
                    : "";
            err().println(folder + ": " + e.getMessage() + hint);
            return false;
        }
    }

    private boolean assessState(StateDirectory directory) throws IOException {
        LoadedState loaded = new RecoveryFile(directory).read();
        Optional<String> writer = loaded.state().map(PersistedState::owner);
        // Without a stored state, there is no owner to compare with.
        String owner = Optional.ofNullable(expectedOwner).or(() -> writer).orElse("");
        TrustedState trusted = PersistedStateAssessor.assess(loaded, owner, System.currentTimeMillis());
        writer.ifPresent(name -> out().println("  owner: " + name));
        boolean isTrusted = true;
        for (Finding finding : trusted.findings()) {
            out().println("  " + finding.describe());
            isTrusted &= finding.disposition() != Finding.Disposition.DISCARDED;
        }
        return isTrusted;
    }

    /** Assesses the instance ledger, which only an agent has; returns whether the ledger is trusted. */
    private boolean assessLedger(StateDirectory directory) throws IOException {
        if (!directory.exists(InstanceLedger.FILE_NAME)) {
            return true;
        }
        try {
            int instances = new InstanceLedger(directory).names().size();
            out().println("  instances: kept, " + instances
                    + " recorded; processes that still run are adopted, other instances that should run are launched");
            return true;
        } catch (InstanceLedger.CorruptLedgerException e) {
            out().println("  instances: " + e.getMessage());
            return false;
        }
    }
}
