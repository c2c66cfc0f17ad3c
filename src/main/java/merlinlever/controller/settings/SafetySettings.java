package merlinlever.controller.settings;

import java.time.Duration;

/**
 * Parameters of the safety rules.
 *
 * @param overloadFactor the number of started requests that a core of a warm server can sustain
 * @param drainGrace the grace period after the start of a drain, in which arrivals may still be run
 * @param maxReadDelay the maximum time from the arrival of a duplicate until its read
 */
public record SafetySettings(double overloadFactor, Duration drainGrace, Duration maxReadDelay) {}
