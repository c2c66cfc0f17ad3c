package merlinlever.fleet.election;

import java.time.Duration;
import java.util.List;

/**
 * Settings of leader election, the same on every backend.
 *
 * @param voters names of the backends that vote and may lead
 * @param lease how long a promise holds
 * @param clockDrift upper bound of the fraction by which the steady clocks of two machines run apart
 */
public record ElectionSettings(List<String> voters, Duration lease, double clockDrift) {

    /** Copies the voters. */
    public ElectionSettings {
        voters = List.copyOf(voters);
    }

    /** Voters in the largest group that is no majority. */
    int largestMinority() {
        return voters.size() / 2;
    }
}
