package merlinlever.fleet.recovery;

/**
 * The report of a peer to a recovering process.
 *
 * @param unixMs the peer's Unix clock at the time of the report
 * @param stage the recovery stage of the peer
 * @param learnedCapacity the capacity that the peer has learned, 0 if none
 */
public record PeerReport(long unixMs, RecoveryStage stage, double learnedCapacity) {}
