package merlinlever.controller.settings;

import java.time.Duration;

/**
 * Limit on the calls to a downstream service that the fleet shares.
 *
 * @param shareOfCalls this server's share of the limit, as an average number of concurrent calls
 * @param averagingTime the time over which concurrent calls are averaged
 * @param lingerTime the maximum time for which a call loads the service after its timeout
 * @param fleetSize the number of servers that share the limit; below 1 if the number is unknown
 */
public record DownstreamSettings(double shareOfCalls, Duration averagingTime, Duration lingerTime, double fleetSize) {}
