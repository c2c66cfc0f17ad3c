package merlinlever.cli;

import java.util.Optional;

/**
 * Interface of {@code serve} to the recovery after a restart, which is optional. The implementation and its
 * dependencies are loaded only if recovery is configured; otherwise {@code serve} uses {@link #NONE}.
 */
interface RecoveryParticipation {

    /** Used by a backend that keeps no state across restarts. */
    RecoveryParticipation NONE = new RecoveryParticipation() {
        @Override
        public Optional<String> statusJson() {
            return Optional.empty();
        }

        @Override
        public void reload(ConfigurationValues values) {}

        @Override
        public void startShutdown() {}
    };

    /** Returns the recovery state as a JSON object for the status page; empty if recovery is not configured. */
    Optional<String> statusJson();

    /** Applies the settings that may change while the process runs: the fleet quotas. */
    void reload(ConfigurationValues values) throws InvalidConfigurationException;

    /** Announces to the other members that this member leaves. */
    void startShutdown();
}
