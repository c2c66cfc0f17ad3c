package merlinlever.controller.settings;

import java.time.Duration;

/**
 * Warm-up of a server after its start.
 *
 * @param cold whether the server starts cold
 * @param coldSpeed the lower bound of a cold server's initial speed, as a fraction of its full speed
 * @param duration the time until a cold server reaches its full speed
 */
public record WarmUpSettings(boolean cold, double coldSpeed, Duration duration) {}
