package merlinlever.fleet.election;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Who leads among the configured voters, by promises that are leases (docs/fleet/budgets.md). At no time do two backends consider
 * themselves leader, and of each term there is at most one leader; a term is on the disks of a majority of the voters before anybody
 * leads under it, so terms are fencing tokens: they only go up, over restarts and losses of power too.
 */
public interface Leadership {

    /** A leader and its term. */
    record Leader(String name, long term) {}

    /** Whether this backend leads for certain, by its own steady clock. */
    boolean isLeader(Duration now);

    /** The term of this backend's own leadership; meaningful only while it leads. */
    long term();

    /** Who leads as far as this backend knows; empty where it does not know. */
    Optional<Leader> leader(Duration now);

    /** Names of the voters, in the configured order. */
    List<String> voters();
}
