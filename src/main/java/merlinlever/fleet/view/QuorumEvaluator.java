package merlinlever.fleet.view;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import merlinlever.fleet.membership.MemberTable;

/** Determines the present {@link QuorumStatus} from what this backend hears, before any hysteresis. Not thread-safe. */
final class QuorumEvaluator {

    private final VoterSet voters;
    private final ViewSettings settings;
    private final MemberTable memberTable;
    private final ViewAdoption views;
    private final VoterResponses voterResponses;
    private final FailureDetector failureDetector;
    private final Supplier<Duration> reportValidity;
    private boolean recovering = true;
    private Duration recoveringSince;
    private long knownAddressConflicts;
    private Duration conflictUntil = Duration.ZERO;

    /**
     * An evaluator that begins with recovery.
     *
     * @param reportValidity how long an answer counts, in a fleet of the present size
     */
    QuorumEvaluator(
            Duration now,
            VoterSet voters,
            ViewSettings settings,
            MemberTable memberTable,
            ViewAdoption views,
            VoterResponses voterResponses,
            FailureDetector failureDetector,
            Supplier<Duration> reportValidity) {
        this.voters = voters;
        this.settings = settings;
        this.memberTable = memberTable;
        this.views = views;
        this.voterResponses = voterResponses;
        this.failureDetector = failureDetector;
        this.reportValidity = reportValidity;
        recoveringSince = now;
        knownAddressConflicts = memberTable.addressConflicts();
    }

    /** The process was paused: what it missed has to be asked for before its status counts again. */
    void startRecovery(Duration now) {
        recovering = true;
        recoveringSince = now;
    }

    /** How many voters are heard, this backend among them where it is one. */
    int heardVoters(Duration now) {
        return voterResponses.heardVoters(now, reportValidity.get()).size() + voters.ownVote();
    }

    QuorumStatus evaluate(Duration now) {
        noteAddressConflicts(now);
        int heard = heardVoters(now);
        boolean hasQuorum = heard >= voters.majority();
        MembershipView view = views.adopted();
        boolean isMember = view.members().contains(voters.self());
        endRecoveryIfInformed(hasQuorum && isMember);
        int agreeing =
                voterResponses.countAgreeing(now, reportValidity.get(), view, views.adoptedAt()) + voters.ownVote();
        if (now.compareTo(conflictUntil) < 0) {
            return QuorumStatus.CONFLICTING;
        } else if (recovering
                && (hasQuorum || now.minus(recoveringSince).compareTo(settings.minReportValidity()) < 0)) {
            return QuorumStatus.RECOVERING;
        } else if (heard == voters.ownVote() && !failureDetector.isAnyReachable(now) && !hasQuorum) {
            return QuorumStatus.ISOLATED;
        } else if (!hasQuorum) {
            return QuorumStatus.MINORITY;
        } else if (!isMember) {
            return QuorumStatus.RECOVERING;
        } else if (agreeing < voters.majority()) {
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
        return voterResponses.heardVoters(now, reportValidity.get());
    }
}
