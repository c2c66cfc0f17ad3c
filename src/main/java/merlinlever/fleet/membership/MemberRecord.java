package merlinlever.fleet.membership;

/**
 * State of a member as known to this member and gossiped to peers.
 *
 * @param gossipAddress address for membership datagrams
 * @param apiAddress address for commands
 * @param incarnation counter that only the member itself raises
 */
public record MemberRecord(
        String name, String gossipAddress, String apiAddress, MemberStatus status, long incarnation) {

    /** Returns whether the member is alive or suspect, but neither dead nor left. */
    public boolean isLive() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }
}
