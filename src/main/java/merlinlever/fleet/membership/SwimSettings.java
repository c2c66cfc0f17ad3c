package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the protocol.
 *
 * @param probePeriod in which one peer is pinged
 * @param pingTimeout after which peers are asked to ping it
 * @param indirectPings how many peers are asked
 * @param seeds gossip addresses that are tried until a peer is known
 */
public record SwimSettings(Duration probePeriod, Duration pingTimeout, int indirectPings, List<String> seeds) {

    private static final Duration DEFAULT_PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration DEFAULT_PING_TIMEOUT = Duration.ofMillis(300);
    private static final int DEFAULT_INDIRECT_PINGS = 3;

    /** Copies the seeds. */
    public SwimSettings {
        seeds = List.copyOf(seeds);
    }

    /** The settings of every released program. */
    public static SwimSettings defaults(List<String> seeds) {
        return new SwimSettings(DEFAULT_PROBE_PERIOD, DEFAULT_PING_TIMEOUT, DEFAULT_INDIRECT_PINGS, seeds);
    }
}
