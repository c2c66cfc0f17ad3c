package merlinlever.fleet.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import merlinlever.fleet.recovery.Finding.Disposition;
import merlinlever.fleet.recovery.Finding.Piece;

/**
 * Decides which parts of the persisted state of the previous incarnation a process may trust. Only state that this
 * process wrote is trusted fully. The assessment assumes that the previous incarnation has used all of its
 * reservations.
 */
public final class PersistedStateAssessor {

    /** Weight of a capacity estimate without age, in completed requests. */
    private static final double FRESH_ESTIMATE_WEIGHT = 8;
    /** Time since the last write after which the weight of a capacity estimate is halved. */
    private static final Duration ESTIMATE_HALF_LIFE = Duration.ofMinutes(5);

    private static final long FIRST_INCARNATION = 1;

    private PersistedStateAssessor() {}

    /**
     * Assesses the loaded state.
     *
     * @param owner identity of this process; see {@link PersistedState#owner}
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
        String cause = loaded.corruption().orElse("the state directory contains no state");
        List<Finding> findings = List.of(
                new Finding(
                        Piece.INCARNATION,
                        disposition,
                        cause + "; starts at 1 and rises above the incarnation that peers know"),
                new Finding(
                        Piece.TERM,
                        disposition,
                        cause + "; earlier leases count as lost, and a full lease period passes before any promise"),
                new Finding(
                        Piece.NON_IDEMPOTENT_REQUESTS, disposition, cause + "; may have been started until this start"),
                new Finding(Piece.CAPACITY, disposition, cause + "; will be learned again"),
                new Finding(Piece.PEERS, disposition, cause + "; the configured peers are queried"));
        return new TrustedState(findings, FIRST_INCARNATION, 0, OptionalLong.empty(), 0, 0, List.of());
    }

    /** Uses only the incarnation and the term of another process's state, as unnecessarily high values are harmless. */
    private static TrustedState ofForeignState(PersistedState state, String owner) {
        String cause = "the state belongs to " + state.owner() + ", not to " + owner;
        List<Finding> findings = List.of(
                new Finding(
                        Piece.INCARNATION,
                        Disposition.KEPT,
                        "starts above " + state.reservedIncarnation() + ", as a higher incarnation is harmless; "
                                + cause),
                new Finding(
                        Piece.TERM,
                        Disposition.KEPT,
                        "no promise in a term below " + state.highestTerm() + "; " + cause),
                new Finding(
                        Piece.NON_IDEMPOTENT_REQUESTS,
                        Disposition.DISCARDED,
                        cause + "; may have been started on this process until this start"),
                new Finding(Piece.CAPACITY, Disposition.DISCARDED, cause),
                new Finding(Piece.PEERS, Disposition.DISCARDED, cause));
        return new TrustedState(
                findings, state.reservedIncarnation() + 1, state.highestTerm(), OptionalLong.empty(), 0, 0, List.of());
    }

    private static TrustedState ofOwnState(PersistedState state, long unixNow) {
        long incarnation = state.reservedIncarnation() + 1;
        long downMs = unixNow - state.writtenAtUnixMs();
        // A clock that was set back shows neither the age of the state nor the last start of a non-idempotent request.
        boolean clockSetBack = downMs < 0;
        boolean capacityUsable = state.learnedCapacity() > 0 && !clockSetBack;
        double weight = capacityUsable
                ? FRESH_ESTIMATE_WEIGHT * Math.pow(0.5, downMs / (double) ESTIMATE_HALF_LIFE.toMillis())
                : 0;
        List<Finding> findings = new ArrayList<>();
        findings.add(new Finding(
                Piece.INCARNATION,
                Disposition.KEPT,
                "up to " + state.reservedIncarnation() + " may have been sent to peers, continues at " + incarnation));
        findings.add(new Finding(
                Piece.TERM,
                Disposition.KEPT,
                "no promise in a term below " + state.highestTerm() + "; earlier leases count as lost"));
        findings.add(nonIdempotentFinding(state, unixNow, downMs));
        findings.add(capacityFinding(state, downMs, weight));
        findings.add(new Finding(
                Piece.PEERS,
                state.peerAddresses().isEmpty() ? Disposition.ABSENT : Disposition.KEPT,
                state.peerAddresses().size() + " addresses to query, no other state of peers is trusted"));
        return new TrustedState(
                findings,
                incarnation,
                state.highestTerm(),
                clockSetBack ? OptionalLong.empty() : OptionalLong.of(state.nonIdempotentUntilUnixMs()),
                clockSetBack ? 0 : state.learnedCapacity(),
                weight,
                state.peerAddresses());
    }

    private static Finding nonIdempotentFinding(PersistedState state, long unixNow, long downMs) {
        if (downMs < 0) {
            return new Finding(
                    Piece.NON_IDEMPOTENT_REQUESTS,
                    Disposition.DISCARDED,
                    "the clock was set back by " + -downMs
                            + " ms during the outage; may have been started until this start");
        }
        long agoMs = Math.max(0, unixNow - state.nonIdempotentUntilUnixMs());
        return new Finding(
                Piece.NON_IDEMPOTENT_REQUESTS, Disposition.KEPT, "may have been started until " + agoMs + " ms ago");
    }

    private static Finding capacityFinding(PersistedState state, long downMs, double weight) {
        if (state.learnedCapacity() <= 0) {
            return new Finding(Piece.CAPACITY, Disposition.ABSENT, "no capacity was learned");
        }
        if (downMs < 0) {
            return new Finding(Piece.CAPACITY, Disposition.DISCARDED, "the age of the estimate is unknown");
        }
        return new Finding(
                Piece.CAPACITY,
                Disposition.AGED,
                String.format(
                        Locale.ROOT,
                        "%.1f requests, %d ms old, weighted as %.1f completed requests",
                        state.learnedCapacity(),
                        downMs,
                        weight));
    }
}
