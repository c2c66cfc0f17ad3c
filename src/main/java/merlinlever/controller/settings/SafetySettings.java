package merlinlever.controller.settings;

import java.time.Duration;

/**
 * The safety rules of a server.
 *
 * @param overloadFactor how many started requests a core of a warm server survives
 * @param drainGrace for how long after the start of a drain arrivals may still be run
 * @param maxReadDelay no duplicate is read later than this after its arrival
 */
public record SafetySettings(double overloadFactor, Duration drainGrace, Duration maxReadDelay) {}
