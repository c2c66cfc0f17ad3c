package merlinlever.cli;

import java.util.Optional;

/**
 * What {@code serve} needs of the recovery after a restart, which only some installations configure. The implementation with
 * everything that belongs to it is loaded only where the configuration asks for it; elsewhere {@link #NONE} stands in.
 */
interface RecoveryParticipation {

    /** Of a backend that keeps no state over a restart. */
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

    /** The state of the recovery as a JSON object, for the status page; empty where there is none. */
    Optional<String> statusJson();

    /** Takes over what may change while the process runs: the fleet quotas. */
    void reload(ConfigurationValues values) throws InvalidConfigurationException;

    /** Tells the other members that this one leaves. */
    void startShutdown();
}
