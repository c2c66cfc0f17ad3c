package merlinlever.host.run;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * One instance as it is described.
 *
 * @param manage where it tells of itself, or null
 * @param logBytes of its log before it is cut
 */
public record InstanceSpec(
        String name,
        String kind,
        Map<String, String> labels,
        List<String> command,
        Map<String, String> environment,
        Path folder,
        InetSocketAddress manage,
        boolean atStart,
        long logBytes) {}
