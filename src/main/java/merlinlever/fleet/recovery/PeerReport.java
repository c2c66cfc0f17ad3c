package merlinlever.fleet.recovery;

/**
 * What a peer reports of itself to a process that recovers.
 *
 * @param unixMs the peer's Unix clock when it sent the report
 * @param stage how far the peer itself has recovered
 * @param learnedCapacity the capacity that the peer has learned, 0 if none
 */
public record PeerReport(long unixMs, RecoveryStage stage, double learnedCapacity) {}
