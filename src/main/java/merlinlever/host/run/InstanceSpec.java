package merlinlever.host.run;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One instance as the agent is configured to run it.
 *
 * @param kind the name that instances with the same configuration share
 * @param labels by which operators select instances
 * @param command the program and its arguments
 * @param environment variables beside those of the agent
 * @param folder its working directory, in which its log is
 * @param managementAddress where it reports its status, if it does
 * @param launchedInitially whether it is launched when the agent sees it for the first time
 * @param maxLogBytes the size at which its log is rotated
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

    /** The file to which the process writes its output. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }
}
