package merlinlever.cli.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.recovery.PersistedStateAssessor;
import merlinlever.recovery.disk.RecoveryFile;
import merlinlever.storage.FileStateDirectory;
import merlinlever.storage.StateDirectory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What the next life of each process would believe of its state folder; changes nothing in it. */
@Command(
        name = "recover",
        mixinStandardHelpOptions = true,
        description =
                "After a power loss, before anything is started: tell for each state folder what is found in it, what is thrown away and why.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:everything found is believed",
            "1:something is thrown away or cannot be looked at",
            "2:wrong usage"
        })
final class RecoverCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--state",
            paramLabel = "DIR",
            required = true,
            arity = "1..*",
            description = "a state folder of an agent or a backend; may come several times")
    private List<Path> folders = List.of();

    @Option(
            names = "--owner",
            paramLabel = "NAME@ADDRESS:PORT",
            description = "whose they have to be; without it each is taken for that of its own owner")
    private String owner;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if (owner != null && !owner.matches("[!-~]+@[!-~]+")) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--owner is NAME@ADDRESS:PORT, not " + owner);
        }
        boolean whole = true;
        for (Path path : folders) {
            if (!Files.isDirectory(path)) {
                err.println(path + ": no such folder");
                whole = false;
                continue;
            }
            try (StateDirectory folder = new FileStateDirectory(path)) {
                out.println(path);
                whole &= look(folder, out);
            } catch (IOException e) {
                err.println(path + ": " + e.getMessage()
                        + (Files.exists(path.resolve("lock"))
                                ? "; a running process told at its start what it found"
                                : ""));
                whole = false;
            }
        }
        out.flush();
        err.flush();
        return whole ? 0 : 1;
    }

    private boolean look(StateDirectory folder, PrintWriter out) throws IOException {
        RecoveryFile.LoadResult found = new RecoveryFile(folder).read();
        String whose =
                owner != null || found.memory() == null ? owner : found.memory().owner();
        PersistedStateAssessor.TrustedState verdict =
                PersistedStateAssessor.judge(found.memory(), found.spoilt(), whose, System.currentTimeMillis());
        boolean whole = true;
        if (found.memory() != null) {
            out.println("  owner: " + found.memory().owner());
        }
        for (PersistedStateAssessor.Finding finding : verdict.findings()) {
            out.println("  " + finding.told());
            whole &= finding.belief() != PersistedStateAssessor.Disposition.THROWN_AWAY;
        }
        if (folder.exists("instances")) {
            try {
                out.println("  instances: kept, "
                        + new InstanceLedger(folder).names().size()
                        + " noted; a process that still runs is taken over, others that are wanted are launched");
            } catch (InstanceLedger.CorruptLedgerException e) {
                out.println("  instances: " + e.getMessage());
                whole = false;
            }
        }
        return whole;
    }
}
