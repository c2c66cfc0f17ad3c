package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import merlinlever.fleet.recovery.Finding.Disposition;
import merlinlever.fleet.recovery.Finding.Piece;

/**
 * Decides what a process may rely on of the state that its incarnation before left. Only what was forced to the disk, and is
 * this process's own, is relied on; whatever may have happened after the last force is taken as having happened.
 */
public final class PersistedStateAssessor {

    /** The weight of a capacity estimate that was learned just now, in completed requests. */
    private static final double FRESH_ESTIMATE_WEIGHT = 8;
    /** The weight of a capacity estimate halves each time the process was down for this long. */
    private static final Duration ESTIMATE_HALF_LIFE = Duration.ofMinutes(5);

    private static final long FIRST_INCARNATION = 1;

    private PersistedStateAssessor() {}

    /**
     * Assesses what was found.
     *
     * @param owner the process that asks: its name and the address that it advertises
     * @param unixNow the Unix clock, in milliseconds
     */
    public static TrustedState assess(LoadedState loaded, String owner, long unixNow) {
        if (loaded.state().isEmpty()) {
            return withoutState(loaded);
        }
        PersistedState state = loaded.state().get();
        return state.owner().equals(owner) ? ofOwnState(state, unixNow) : ofForeignState(state, owner);
    }

    private static TrustedState withoutState(LoadedState loaded) {
        Disposition disposition = loaded.corruption().isPresent() ? Disposition.DISCARDED : Disposition.ABSENT;
        String why = loaded.corruption().orElse("the folder holds none");
        List<Finding> findings = List.of(
                new Finding(
                        Piece.INCARNATION, disposition, why + "; starts at 1 and rises above what others have heard"),
                new Finding(
                        Piece.TERM,
                        disposition,
                        why + "; leases from before are held lost, and a whole one passes before anything is promised"),
                new Finding(Piece.NON_IDEMPOTENT_REQUESTS, disposition, why + "; may have been begun until this start"),
                new Finding(Piece.CAPACITY, disposition, why + "; learned anew"),
                new Finding(Piece.PEERS, disposition, why + "; those that the configuration names are asked"));
        return new TrustedState(findings, FIRST_INCARNATION, 0, OptionalLong.empty(), 0, 0, List.of());
    }

    /** Of another process's state only the floors count: a higher incarnation or term than needed does no harm. */
    private static TrustedState ofForeignState(PersistedState state, String owner) {
        String why = "it is that of " + state.owner() + ", not of " + owner;
        List<Finding> findings = List.of(
                new Finding(
                        Piece.INCARNATION,
                        Disposition.KEPT,
                        "above " + state.reservedIncarnation() + ", as a higher one does no harm; " + why),
                new Finding(Piece.TERM, Disposition.KEPT, "none under " + state.highestTerm() + " is promised; " + why),
                new Finding(
                        Piece.NON_IDEMPOTENT_REQUESTS,
                        Disposition.DISCARDED,
                        why + "; may have been begun here until this start"),
                new Finding(Piece.CAPACITY, Disposition.DISCARDED, why),
                new Finding(Piece.PEERS, Disposition.DISCARDED, why));
        return new TrustedState(
                findings, state.reservedIncarnation() + 1, state.highestTerm(), OptionalLong.empty(), 0, 0, List.of());
    }

    private static TrustedState ofOwnState(PersistedState state, long unixNow) {
        long incarnation = state.reservedIncarnation() + 1;
        long downMs = unixNow - state.writtenAtUnixMs();
        // A clock that went back says neither how old the state is nor when non-idempotent requests were last started.
        boolean clockWentBack = downMs < 0;
        boolean capacityUsable = state.learnedCapacity() > 0 && !clockWentBack;
        double weight = capacityUsable
                ? FRESH_ESTIMATE_WEIGHT * Math.pow(0.5, downMs / (double) ESTIMATE_HALF_LIFE.toMillis())
                : 0;
        List<Finding> findings = new ArrayList<>();
        findings.add(new Finding(
                Piece.INCARNATION,
                Disposition.KEPT,
                "up to " + state.reservedIncarnation() + " may have been told, goes on at " + incarnation));
        findings.add(new Finding(
                Piece.TERM,
                Disposition.KEPT,
                "none under " + state.highestTerm() + " is promised; leases from before are held lost"));
        findings.add(nonIdempotentFinding(state, unixNow, downMs));
        findings.add(capacityFinding(state, downMs, weight));
        findings.add(new Finding(
                Piece.PEERS,
                state.peerAddresses().isEmpty() ? Disposition.ABSENT : Disposition.KEPT,
                state.peerAddresses().size() + " addresses to ask, nothing more is believed of them"));
        return new TrustedState(
                findings,
                incarnation,
                state.highestTerm(),
                clockWentBack ? OptionalLong.empty() : OptionalLong.of(state.nonIdempotentUntilUnixMs()),
                clockWentBack ? 0 : state.learnedCapacity(),
                weight,
                state.peerAddresses());
    }

    private static Finding nonIdempotentFinding(PersistedState state, long unixNow, long downMs) {
        if (downMs < 0) {
            return new Finding(
                    Piece.NON_IDEMPOTENT_REQUESTS,
                    Disposition.DISCARDED,
                    "the clock went back by " + -downMs
                            + " ms across the outage; may have been begun until this start");
        }
        long agoMs = Math.max(0, unixNow - state.nonIdempotentUntilUnixMs());
        return new Finding(
                Piece.NON_IDEMPOTENT_REQUESTS, Disposition.KEPT, "may have been begun until " + agoMs + " ms ago");
    }

    private static Finding capacityFinding(PersistedState state, long downMs, double weight) {
        if (state.learnedCapacity() <= 0) {
            return new Finding(Piece.CAPACITY, Disposition.ABSENT, "none was learned");
        }
        if (downMs < 0) {
            return new Finding(Piece.CAPACITY, Disposition.DISCARDED, "how old it is cannot be told");
        }
        return new Finding(
                Piece.CAPACITY,
                Disposition.AGED,
                String.format(
                        Locale.ROOT,
                        "%.1f operations, %d ms old, counts as %.1f completions",
                        state.learnedCapacity(),
                        downMs,
                        weight));
    }
}
