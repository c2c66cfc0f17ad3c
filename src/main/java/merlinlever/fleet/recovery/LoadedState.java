package merlinlever.fleet.recovery;

import java.util.Optional;

/**
 * What was found on disk at the start: the state, or why there is none. Neither is present where nothing was ever written.
 *
 * @param state what the incarnation before wrote
 * @param corruption why the state that is there cannot be used, for the operator
 */
public record LoadedState(Optional<PersistedState> state, Optional<String> corruption) {

    /** @throws IllegalArgumentException if there is both a state and a reason why there is none */
    public LoadedState {
        if (state.isPresent() && corruption.isPresent()) {
            throw new IllegalArgumentException("a state that is read is not corrupt: " + corruption.get());
        }
    }

    /** The state was read whole. */
    public static LoadedState of(PersistedState state) {
        return new LoadedState(Optional.of(state), Optional.empty());
    }

    /** Something is there that cannot be used. */
    public static LoadedState corrupt(String reason) {
        return new LoadedState(Optional.empty(), Optional.of(reason));
    }

    /** Nothing was ever written. */
    public static LoadedState absent() {
        return new LoadedState(Optional.empty(), Optional.empty());
    }
}
