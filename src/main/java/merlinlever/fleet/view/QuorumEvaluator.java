package merlinlever.fleet.view;

import java.time.Duration;
import java.util.List;
import merlinlever.fleet.membership.MemberTable;

/** Computes the current {@link QuorumStatus} from the answers of the peers, before hysteresis. Not thread-safe. */
final class QuorumEvaluator {

    private final VoterSet voters;
    private final ViewSettings settings;
    private final MemberTable memberTable;
    private final ViewAdoption views;
    private final VoterResponses voterResponses;
    private final FailureDetector failureDetector;
    private boolean recovering = true;
    private Duration recoveringSince;
    private long knownAddressConflicts;
    private Duration conflictUntil = Duration.ZERO;

    /** Creates an evaluator in the recovering state. */
    QuorumEvaluator(
            Duration now,
            VoterSet voters,
            ViewSettings settings,
            MemberTable memberTable,
            ViewAdoption views,
            VoterResponses voterResponses,
            FailureDetector failureDetector) {
        this.voters = voters;
        this.settings = settings;
        this.memberTable = memberTable;
        this.views = views;
        this.voterResponses = voterResponses;
        this.failureDetector = failureDetector;
        recoveringSince = now;
        knownAddressConflicts = memberTable.addressConflicts();
    }

    /** Starts recovery after a pause of the process; recovery lasts until a majority of the voters has answered. */
    void startRecovery(Duration now) {
        recovering = true;
        recoveringSince = now;
    }

    /** Returns how long an answer is valid in a fleet of the current size. */
    private Duration reportValidity() {
        return settings.reportValidity(views.fleetSize(memberTable));
    }

    /** Returns the number of voters that are heard, including this backend if it is a voter. */
    int heardVoters(Duration now) {
        return voterResponses.heardVoters(now, reportValidity()).size() + voters.ownVote();
    }

    QuorumStatus evaluate(Duration now) {
        checkAddressConflicts(now);
        int heard = heardVoters(now);
        boolean hasQuorum = heard >= voters.majority();
        MembershipView view = views.adopted();
        boolean isMember = view.members().contains(voters.self());
        endRecoveryIfUpToDate(hasQuorum && isMember);
        int agreeing = voterResponses.countAgreeing(now, reportValidity(), view, views.adoptedAt()) + voters.ownVote();
        if (now.compareTo(conflictUntil) < 0) {
            return QuorumStatus.CONFLICTING;
        }
        boolean isWaitingForQuorum = now.minus(recoveringSince).compareTo(settings.minReportValidity()) < 0;
        if (recovering && (hasQuorum || isWaitingForQuorum)) {
            return QuorumStatus.RECOVERING;
        }
        if (!hasQuorum) {
            boolean isIsolated = heard == voters.ownVote() && !failureDetector.isAnyReachable(now);
            return isIsolated ? QuorumStatus.ISOLATED : QuorumStatus.MINORITY;
        }
        return isMember ? statusOfMember(heard, agreeing) : QuorumStatus.RECOVERING;
    }

    /** Returns the status of a backend that is a member of the adopted view and hears a majority of the voters. */
    private QuorumStatus statusOfMember(int heard, int agreeing) {
        if (agreeing < voters.majority()) {
            return QuorumStatus.CONFLICTING;
        }
        return heard == voters.size() && agreeing == heard ? QuorumStatus.FULL : QuorumStatus.MAJORITY;
    }

    /** Ignores the first address conflict, as peers may still report an earlier incarnation of this backend. */
    private void checkAddressConflicts(Duration now) {
        long conflicts = memberTable.addressConflicts();
        if (conflicts != knownAddressConflicts) {
            if (conflicts > 1) {
                conflictUntil = now.plus(settings.maxUnstableDelay());
            }
            knownAddressConflicts = conflicts;
        }
    }

    /**
     * Ends recovery when a majority of the voters has answered since its start with views no later than the adopted
     * one.
     */
    private void endRecoveryIfUpToDate(boolean isMemberWithQuorum) {
        int votersNotAhead =
                voterResponses.countNotAhead(recoveringSince, views.adopted().number()) + voters.ownVote();
        if (recovering && isMemberWithQuorum && votersNotAhead >= voters.majority()) {
            recovering = false;
        }
    }

    /** Returns the names of the voters that are heard, without this backend. */
    List<String> heardVoterNames(Duration now) {
        return voterResponses.heardVoters(now, reportValidity());
    }
}
