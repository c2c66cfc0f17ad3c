package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.List;

/**
 * Settings of {@link SwimProtocol}.
 *
 * @param probePeriod interval between pings to successive peers
 * @param pingTimeout time without a reply after which other peers are requested to ping the target
 * @param indirectPings maximum number of peers that are requested to ping the target
 * @param seeds gossip addresses that are contacted until a peer is known
 */
public record SwimSettings(Duration probePeriod, Duration pingTimeout, int indirectPings, List<String> seeds) {

    private static final Duration DEFAULT_PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration DEFAULT_PING_TIMEOUT = Duration.ofMillis(300);
    private static final int DEFAULT_INDIRECT_PINGS = 3;

    /** Copies the seeds. */
    public SwimSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the default settings with the given seeds. */
    public static SwimSettings defaults(List<String> seeds) {
        return new SwimSettings(DEFAULT_PROBE_PERIOD, DEFAULT_PING_TIMEOUT, DEFAULT_INDIRECT_PINGS, seeds);
    }
}
