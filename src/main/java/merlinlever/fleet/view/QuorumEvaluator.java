package merlinlever.fleet.view;

import java.time.Duration;
import java.util.List;
import merlinlever.fleet.membership.MemberTable;

/** Determines the present {@link QuorumStatus} from what this backend hears, before any hysteresis. Not thread-safe. */
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

    /** An evaluator that begins with recovery. */
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

    /** The process was paused: what it missed has to be asked for before its status counts again. */
    void startRecovery(Duration now) {
        recovering = true;
        recoveringSince = now;
    }

    /** How long an answer counts, in a fleet of the present size. */
    private Duration reportValidity() {
        return settings.reportValidity(views.fleetSize(memberTable));
    }

    /** How many voters are heard, this backend among them where it is one. */
    int heardVoters(Duration now) {
        return voterResponses.heardVoters(now, reportValidity()).size() + voters.ownVote();
    }

    QuorumStatus evaluate(Duration now) {
        noteAddressConflicts(now);
        int heard = heardVoters(now);
        boolean hasQuorum = heard >= voters.majority();
        MembershipView view = views.adopted();
        boolean isMember = view.members().contains(voters.self());
        endRecoveryIfInformed(hasQuorum && isMember);
        int agreeing = voterResponses.countAgreeing(now, reportValidity(), view, views.adoptedAt()) + voters.ownVote();
        if (now.compareTo(conflictUntil) < 0) {
            return QuorumStatus.CONFLICTING;
        }
        boolean awaitsQuorum = now.minus(recoveringSince).compareTo(settings.minReportValidity()) < 0;
        if (recovering && (hasQuorum || awaitsQuorum)) {
            return QuorumStatus.RECOVERING;
        }
        if (!hasQuorum) {
            boolean hearsNobody = heard == voters.ownVote() && !failureDetector.isAnyReachable(now);
            return hearsNobody ? QuorumStatus.ISOLATED : QuorumStatus.MINORITY;
        }
        return isMember ? statusOfMember(heard, agreeing) : QuorumStatus.RECOVERING;
    }

    /** The status of a member of the adopted view that hears a majority of the voters. */
    private QuorumStatus statusOfMember(int heard, int agreeing) {
        if (agreeing < voters.majority()) {
            return QuorumStatus.CONFLICTING;
        }
        return heard == voters.size() && agreeing == heard ? QuorumStatus.FULL : QuorumStatus.MAJORITY;
    }

    /** A first conflict may be this backend's own earlier incarnation, which peers still report; a further one is not. */
    private void noteAddressConflicts(Duration now) {
        long conflicts = memberTable.addressConflicts();
        if (conflicts != knownAddressConflicts) {
            if (conflicts > 1) {
                conflictUntil = now.plus(settings.maxDoubtDelay());
            }
            knownAddressConflicts = conflicts;
        }
    }

    /** Recovery ends once a majority has answered since its start and holds nothing later than what is adopted here. */
    private void endRecoveryIfInformed(boolean isMemberWithQuorum) {
        int informedBy =
                voterResponses.countNotAhead(recoveringSince, views.adopted().number()) + voters.ownVote();
        if (recovering && isMemberWithQuorum && informedBy >= voters.majority()) {
            recovering = false;
        }
    }

    /** Names of the voters that are heard, without this backend. */
    List<String> heardVoterNames(Duration now) {
        return voterResponses.heardVoters(now, reportValidity());
    }
}
