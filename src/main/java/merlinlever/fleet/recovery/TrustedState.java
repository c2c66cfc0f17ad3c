package merlinlever.fleet.recovery;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a process begins with after the state that its incarnation before left has been assessed.
 *
 * @param findings what became of each piece of that state, for the operator
 * @param incarnation the first incarnation of this process, above all that may have been sent to peers
 * @param highestTerm the highest election term that may have been promised
 * @param nonIdempotentUntilUnixMs until when the incarnation before may have started non-idempotent requests, by the Unix
 *     clock; empty if nothing that can be trusted says so
 * @param capacityEstimate the capacity to begin with, 0 if none is known
 * @param estimateWeight how much that estimate counts, in completed requests
 * @param peerAddresses where peers may be reached
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
