package merlinlever.cli;

import java.time.Duration;
import java.util.Map;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;

/**
 * Reads the configuration again on SIGHUP. A file that is unusable may be half written still, so it is read a few times more
 * before it is given up; until one reading is usable the configuration before stays in force. Runs on the event loop.
 */
final class ConfigurationReloader {

    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Receives a configuration that is valid. */
    interface Target {
        /** Takes the configuration over, or none of it where a part that only the target checks is unusable. */
        void apply(ServeConfiguration configuration) throws InvalidConfigurationException;
    }

    private final Map<String, String> environment;
    private final EventLoop loop;
    private final Log log;
    private final Target target;
    /** The retry to come; null where none is. */
    private EventLoop.Timer retry;

    ConfigurationReloader(Map<String, String> environment, EventLoop loop, Log log, Target target) {
        this.environment = environment;
        this.loop = loop;
        this.log = log;
        this.target = target;
    }

    /** The prefix of messages that names the configuration file. */
    static String filePrefix(Map<String, String> environment) {
        return environment.containsKey("GW_CONFIG") ? environment.get("GW_CONFIG") + ": " : "";
    }

    /** Starts over with the first attempt; retries of an earlier signal are cancelled. */
    void reload() {
        attempt(MAX_ATTEMPTS, "");
    }

    /** @param loggedReason why the first of these attempts failed, empty for the first one itself */
    private void attempt(int attemptsLeft, String loggedReason) {
        if (retry != null) {
            retry.cancel();
            retry = null;
        }
        try {
            target.apply(ServeConfiguration.read(environment));
        } catch (InvalidConfigurationException e) {
            // One line for all attempts, and another only where the last one fails for another reason: the file is
            // complete then.
            String reason = e.getMessage();
            boolean isLast = attemptsLeft <= 1;
            if (loggedReason.isEmpty() || (isLast && !loggedReason.equals(reason))) {
                log.warn("configuration-reload-rejected reason=" + filePrefix(environment) + reason);
            }
            if (!isLast) {
                String firstReason = loggedReason.isEmpty() ? reason : loggedReason;
                retry = loop.schedule(RETRY_DELAY, () -> attempt(attemptsLeft - 1, firstReason));
            }
        }
    }
}
