package merlinlever.fleet.recovery;

import java.util.Optional;

/**
 * The result of reading the persisted state at the start. Both components are empty if no state was ever written.
 *
 * @param state the state that the previous incarnation wrote
 * @param corruption reason why the state on disk cannot be used, for operators
 */
public record LoadedState(Optional<PersistedState> state, Optional<String> corruption) {

    /**
     * Checks that at most one of the components is present.
     *
     * @throws IllegalArgumentException if both components are present
     */
    public LoadedState {
        if (state.isPresent() && corruption.isPresent()) {
            throw new IllegalArgumentException("both a state and a corruption are given: " + corruption.get());
        }
    }

    /** Returns the result for a state that was read successfully. */
    public static LoadedState of(PersistedState state) {
        return new LoadedState(Optional.of(state), Optional.empty());
    }

    /** Returns the result for a state that cannot be used. */
    public static LoadedState corrupt(String reason) {
        return new LoadedState(Optional.empty(), Optional.of(reason));
    }

    /** Returns the result for a directory without a state. */
    public static LoadedState absent() {
        return new LoadedState(Optional.empty(), Optional.empty());
    }
}
