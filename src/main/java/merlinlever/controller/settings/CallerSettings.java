package merlinlever.controller.settings;

import java.time.Duration;

/**
 * The callers of a server.
 *
 * @param callers how many there are
 * @param idleTimeout after which callers close an idle connection
 * @param maxRetryAfter the longest Retry-After of a rejection; zero where there can be none
 * @param maxOutcomeAge for how long an outcome of an idempotent request may answer others of the same subject
 */
public record CallerSettings(double callers, Duration idleTimeout, Duration maxRetryAfter, Duration maxOutcomeAge) {}
