package merlinlever.fleet.recovery;

import java.util.List;
import java.util.OptionalLong;

/**
 * The initial state of a process, derived from the persisted state of the previous incarnation.
 *
 * @param findings the assessment of each piece of the persisted state, for operators
 * @param incarnation first incarnation of this process, higher than all incarnations that may have been sent to peers
 * @param highestTerm highest election term in which a promise may have been made
 * @param nonIdempotentUntilUnixMs latest time at which the previous incarnation may have started non-idempotent
 *     requests, in Unix milliseconds; empty if no trusted state contains the time
 * @param capacityEstimate initial capacity estimate, 0 if no estimate is known
 * @param estimateWeight weight of the capacity estimate, in completed requests
 * @param peerAddresses possible addresses of peers
 */
public record TrustedState(
        List<Finding> findings,
        long incarnation,
        long highestTerm,
        OptionalLong nonIdempotentUntilUnixMs,
        double capacityEstimate,
        double estimateWeight,
        List<String> peerAddresses) {

    /** Copies the findings and addresses. */
    public TrustedState {
        findings = List.copyOf(findings);
        peerAddresses = List.copyOf(peerAddresses);
    }
}
