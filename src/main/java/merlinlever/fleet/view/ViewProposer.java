package merlinlever.fleet.view;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberTable;

/** Numbers the next view, on the backend that leads, when a change of the members is due. Not thread-safe. */
final class ViewProposer {

    /**
     * A new view.
     *
     * @param baseNumber number of the view that it follows
     * @param recipients those that hold the view before or belong to the new one, without this backend
     */
    record Proposal(MembershipView view, long baseNumber, SortedSet<String> recipients) {}

    private static final long NOT_LEADING = -1;

    private final VoterSet voters;
    private final LeaderElection election;
    private final MemberTable memberTable;
    private final ViewAdoption views;
    private final CutDetector cutDetector;
    private final VoterResponses voterResponses;
    private final Supplier<Duration> reportValidity;
    private long leadershipTerm = NOT_LEADING;
    private Duration leadershipSince = Duration.ZERO;
    private int viewsInTerm;

    /**
     * A proposer that does not lead yet.
     *
     * @param reportValidity how long an answer or a report counts, in a fleet of the present size
     */
    ViewProposer(
            VoterSet voters,
            LeaderElection election,
            MemberTable memberTable,
            ViewAdoption views,
            CutDetector cutDetector,
            VoterResponses voterResponses,
            Supplier<Duration> reportValidity) {
        this.voters = voters;
        this.election = election;
        this.memberTable = memberTable;
        this.views = views;
        this.cutDetector = cutDetector;
        this.voterResponses = voterResponses;
        this.reportValidity = reportValidity;
    }

    /**
     * The next view; empty where this backend does not lead or no change is due.
     *
     * @param mayDecide whether its quorum status permits {@link GuardedAction#DECIDE}
     */
    Optional<Proposal> propose(Duration now, boolean mayDecide) {
        if (!election.isLeader(now)) {
            leadershipTerm = NOT_LEADING;
            return Optional.empty();
        }
        if (leadershipTerm != election.term()) {
            leadershipTerm = election.term();
            leadershipSince = now;
            viewsInTerm = 0;
        }
        if (!knowsLatestOfMajority(now)) {
            return Optional.empty();
        }
        MembershipView latest = views.latestKnown();
        // The first view, the one that takes the leader in, and a new number for the same members cannot wait for the
        // agreement that they bring about.
        boolean leaderOutside =
                views.adopted().number() < latest.number() || !latest.members().contains(voters.self());
        boolean renumber = needsNewNumber(now, latest);
        if (!leaderOutside && !renumber && !mayDecide) {
            return Optional.empty();
        }
        SortedSet<String> members = renumber
                ? latest.members()
                : cutDetector
                        .dueMembers(now, voters, latest, views.observerRings(), memberTable::find, reportValidity.get())
                        .orElse(null);
        if (members == null || !voters.hasMajorityIn(members) || !MembershipView.isValidCount(viewsInTerm + 1)) {
            return Optional.empty();
        }
        return Optional.of(number(latest, members));
    }

    /** Whether a majority of the voters has answered since this backend leads, and none that is heard holds a later view. */
    private boolean knowsLatestOfMajority(Duration now) {
        long latest = views.latestKnown().number();
        return !voterResponses.isAnyAhead(now, reportValidity.get(), latest)
                && voterResponses.countNotAhead(leadershipSince, latest) + 1 >= voters.majority();
    }

    /** Whether the latest view, of an earlier term, has to be numbered anew so that a restarted member can adopt it. */
    private boolean needsNewNumber(Duration now, MembershipView latest) {
        return latest.term() < leadershipTerm
                && latest.number() > 0
                && (views.adopted().number() < latest.number()
                        || cutDetector.isMemberWaitingForLaterTerm(now, latest, reportValidity.get()));
    }

    private Proposal number(MembershipView latest, SortedSet<String> members) {
        SortedSet<String> recipients = new TreeSet<>(latest.members());
        recipients.addAll(members);
        recipients.remove(voters.self());
        viewsInTerm++;
        MembershipView next = MembershipView.of(MembershipView.numberOf(leadershipTerm, viewsInTerm), members);
        return new Proposal(next, latest.number(), recipients);
    }
}
