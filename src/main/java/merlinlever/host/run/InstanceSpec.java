package merlinlever.host.run;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration of one instance.
 *
 * @param kind name shared by instances with the same configuration
 * @param labels labels that operators use to select instances
 * @param command program and its arguments
 * @param environment variables added to the environment of the agent
 * @param folder working directory, which contains the log
 * @param managementAddress address of the status report; empty if the instance does not report its status
 * @param launchedInitially whether an instance without a record in the ledger is launched
 * @param maxLogBytes size at which the log is rotated
 */
public record InstanceSpec(
        String name,
        String kind,
        Map<String, String> labels,
        List<String> command,
        Map<String, String> environment,
        Path folder,
        Optional<InetSocketAddress> managementAddress,
        boolean launchedInitially,
        long maxLogBytes) {

    /** Returns the file that receives the output of the process. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }
}
