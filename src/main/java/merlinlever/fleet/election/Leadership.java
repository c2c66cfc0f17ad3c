package merlinlever.fleet.election;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Result of lease-based leader election among the configured voters (docs/fleet/budgets.md). At most one backend
 * considers itself the leader at any time, and each term has at most one leader. A majority of the voters persists a
 * term before its leader starts, so terms increase across restarts and power losses and can serve as fencing tokens.
 */
public interface Leadership {

    /** A leader and its term. */
    record Leader(String name, long term) {}

    /** Returns whether this backend's leadership is certain, by its own monotonic clock. */
    boolean isLeader(Duration now);

    /** Returns the term of this backend's leadership; meaningful only while this backend is the leader. */
    long term();

    /** Returns the current leader as far as this backend knows; empty if unknown. */
    Optional<Leader> leader(Duration now);

    /** Returns the names of the voters, in the configured order. */
    List<String> voters();
}
