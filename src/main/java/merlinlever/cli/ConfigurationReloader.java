package merlinlever.cli;

import java.time.Duration;
import java.util.Map;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;

/**
 * Reloads the configuration on SIGHUP. An invalid file may be incompletely written, so the reloader reads the file a
 * few more times before giving up. The previous configuration remains in force until the file is valid. Runs on the
 * event loop.
 */
final class ConfigurationReloader {

    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Applies a valid configuration. */
    interface Target {
        /** Applies the whole configuration, or no part of it if the target finds an invalid value. */
        void apply(ServeConfiguration configuration) throws InvalidConfigurationException;
    }

    private final Map<String, String> environment;
    private final EventLoop loop;
    private final Log log;
    private final Target target;
    /** Null if no retry is pending. */
    private EventLoop.Timer pendingRetry;

    ConfigurationReloader(Map<String, String> environment, EventLoop loop, Log log, Target target) {
        this.environment = environment;
        this.loop = loop;
        this.log = log;
        this.target = target;
    }

    /** Returns the path of the configuration file as a prefix for messages; empty if no file is configured. */
    static String filePrefix(Map<String, String> environment) {
        return environment.containsKey("GW_CONFIG") ? environment.get("GW_CONFIG") + ": " : "";
    }

    /** Starts a new series of attempts; the pending retry of an earlier signal is cancelled. */
    void reload() {
        attempt(MAX_ATTEMPTS, "");
    }

    /** @param loggedReason reason for which the first attempt failed; empty for the first attempt */
    private void attempt(int attemptsLeft, String loggedReason) {
        if (pendingRetry != null) {
            pendingRetry.cancel();
            pendingRetry = null;
        }
        try {
            target.apply(ServeConfiguration.read(environment));
        } catch (InvalidConfigurationException e) {
            // Logs the first failure, and the last one only if its reason differs: by then the file is complete.
            String reason = e.getMessage();
            boolean isLast = attemptsLeft <= 1;
            if (loggedReason.isEmpty() || (isLast && !loggedReason.equals(reason))) {
                log.warn("configuration-reload-rejected reason=" + filePrefix(environment) + reason);
            }
            if (!isLast) {
                String firstReason = loggedReason.isEmpty() ? reason : loggedReason;
                pendingRetry = loop.schedule(RETRY_DELAY, () -> attempt(attemptsLeft - 1, firstReason));
            }
        }
    }
}
