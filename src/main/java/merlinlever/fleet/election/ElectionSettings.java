package merlinlever.fleet.election;

import java.time.Duration;
import java.util.List;

/**
 * Settings of leader election; every backend has the same ones.
 *
 * @param voters names of the backends that vote and may become leader
 * @param lease how long a promise is valid
 * @param clockDrift upper bound of the relative difference between the rates of two machines' monotonic clocks
 */
public record ElectionSettings(List<String> voters, Duration lease, double clockDrift) {

    /** Copies the voters. */
    public ElectionSettings {
        voters = List.copyOf(voters);
    }

    /** Returns the size of the largest group of voters that is not a majority. */
    int largestMinority() {
        return voters.size() / 2;
    }
}
