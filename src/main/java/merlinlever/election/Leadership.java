package merlinlever.election;

import java.time.Duration;
import java.util.List;

/**
 * Who leads among the stated voters, by promises that are leases (docs/fleet/budgets.md). At no time do two hold themselves to
 * lead, and of each term there is one leader at the most; a term is on the disks of more than half of the voters before anybody
 * leads under it, so terms are fencing numbers: they go up alone, over restarts and losses of power too.
 */
public interface Leadership {

    /** Who leads, and under which term. */
    record Leader(String name, long term) {}

    /** Whether this one leads for certain, by its own steady clock. */
    boolean isLeader(Duration now);

    /** Of its own leadership; means something while it leads. */
    long term();

    /** Who leads as far as this one knows, or null. */
    Leader leader(Duration now);

    List<String> voters();
}
