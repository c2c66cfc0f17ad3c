package merlinlever.controller.settings;

import java.time.Duration;

/**
 * The limit on the calls to a downstream service that the fleet shares.
 *
 * @param shareOfCalls this server's share of the limit, as an average number of calls in progress
 * @param averagingTime the time over which calls in progress are averaged
 * @param lingerTime how long a call that was given up still loads the service at most
 * @param fleetSize how many servers share the limit; below 1 if that is not known
 */
public record DownstreamSettings(double shareOfCalls, Duration averagingTime, Duration lingerTime, double fleetSize) {}
