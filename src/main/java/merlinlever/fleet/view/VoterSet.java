package merlinlever.fleet.view;

import java.util.Collection;
import java.util.List;

/**
 * The configured voters, as seen by one backend.
 *
 * @param names the same list, in the same order, on every backend
 * @param self name of this backend, which need not be a voter
 */
record VoterSet(List<String> names, String self) {

    VoterSet {
        names = List.copyOf(names);
    }

    int size() {
        return names.size();
    }

    /** The smallest number of voters that is more than half of them. */
    int majority() {
        return names.size() / 2 + 1;
    }

    boolean includesSelf() {
        return names.contains(self);
    }

    /** 1 where this backend is a voter, which counts its own vote, else 0. */
    int ownVote() {
        return includesSelf() ? 1 : 0;
    }

    /** Whether the members include a majority of the voters. */
    boolean hasMajorityIn(Collection<String> members) {
        return members.stream().filter(names::contains).count() >= majority();
    }
}
