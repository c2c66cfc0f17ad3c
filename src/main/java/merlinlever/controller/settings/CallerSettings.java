package merlinlever.controller.settings;

import java.time.Duration;

/**
 * Settings for the callers of a server.
 *
 * @param callers the number of callers
 * @param idleTimeout the time after which callers close an idle connection
 * @param maxRetryAfter the longest Retry-After of a rejection; zero if rejections carry no Retry-After
 * @param maxOutcomeAge how long the outcome of an idempotent request may be shared with others of the same subject
 */
public record CallerSettings(double callers, Duration idleTimeout, Duration maxRetryAfter, Duration maxOutcomeAge) {}
