package merlinlever.fleet.view;

import java.util.Collection;
import java.util.List;

/**
 * The configured voters from the perspective of one backend.
 *
 * @param names names of the voters; every backend has the same list in the same order
 * @param self name of this backend, which is not necessarily a voter
 */
record VoterSet(List<String> names, String self) {

    VoterSet {
        names = List.copyOf(names);
    }

    int size() {
        return names.size();
    }

    /** Returns the smallest number of voters that is more than half of all voters. */
    int majority() {
        return names.size() / 2 + 1;
    }

    boolean includesSelf() {
        return names.contains(self);
    }

    /** Returns 1 if this backend is a voter, otherwise 0. */
    int ownVote() {
        return includesSelf() ? 1 : 0;
    }

    /** Returns whether a majority of the voters is among the members. */
    boolean hasMajorityIn(Collection<String> members) {
        return members.stream().filter(names::contains).count() >= majority();
    }
}
