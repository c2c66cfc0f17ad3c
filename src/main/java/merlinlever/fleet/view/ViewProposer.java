package merlinlever.fleet.view;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberTable;

/** Creates the next view on the leader when a change of the members is due. Not thread-safe. */
final class ViewProposer {

    /**
     * A new view.
     *
     * @param baseNumber number of the previous view
     * @param recipients the members of the previous and the new view, without this backend
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
     * Creates a proposer for a backend that is not the leader yet.
     *
     * @param reportValidity how long an answer or a report is valid in a fleet of the current size
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
     * Returns the next view; empty if this backend is not the leader or no change is due.
     *
     * @param mayDecide whether the quorum status of this backend permits {@link GuardedAction#DECIDE}
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
        // Three kinds of view do not require DECIDE, as the required agreement is only possible after them: the first
        // view, the view in which the leader joins, and a view that renumbers the same members.
        boolean leaderLacksView =
                views.adopted().number() < latest.number() || !latest.members().contains(voters.self());
        boolean mustRenumber = needsNewNumber(now, latest);
        if (!leaderLacksView && !mustRenumber && !mayDecide) {
            return Optional.empty();
        }
        SortedSet<String> members = mustRenumber
                ? latest.members()
                : cutDetector
                        .dueMembers(now, voters, latest, views.observerRings(), memberTable::find, reportValidity.get())
                        .orElse(null);
        if (members == null || !voters.hasMajorityIn(members) || !MembershipView.isValidCount(viewsInTerm + 1)) {
            return Optional.empty();
        }
        return Optional.of(createProposal(latest, members));
    }

    /**
     * Returns whether a majority of the voters has answered since this backend became leader, and none has a later
     * view.
     */
    private boolean knowsLatestOfMajority(Duration now) {
        long latest = views.latestKnown().number();
        return !voterResponses.isAnyAhead(now, reportValidity.get(), latest)
                && voterResponses.countNotAhead(leadershipSince, latest) + 1 >= voters.majority();
    }

    /**
     * Returns whether the latest view belongs to an earlier term and needs a new number, without
     * which a restarted member cannot adopt the view.
     */
    private boolean needsNewNumber(Duration now, MembershipView latest) {
        return latest.term() < leadershipTerm
                && latest.number() > 0
                && (views.adopted().number() < latest.number()
                        || cutDetector.isMemberWaitingForLaterTerm(now, latest, reportValidity.get()));
    }

    private Proposal createProposal(MembershipView latest, SortedSet<String> members) {
        SortedSet<String> recipients = new TreeSet<>(latest.members());
        recipients.addAll(members);
        recipients.remove(voters.self());
        viewsInTerm++;
        MembershipView next = MembershipView.of(MembershipView.numberOf(leadershipTerm, viewsInTerm), members);
        return new Proposal(next, latest.number(), recipients);
    }
}
