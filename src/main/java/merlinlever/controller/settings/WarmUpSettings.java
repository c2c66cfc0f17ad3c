package merlinlever.controller.settings;

import java.time.Duration;

/**
 * How a server gets warm.
 *
 * @param cold whether it has just started
 * @param coldSpeed the fraction of its full speed that a cold server starts at, or more
 * @param duration how long a cold server takes to its full speed
 */
public record WarmUpSettings(boolean cold, double coldSpeed, Duration duration) {}
