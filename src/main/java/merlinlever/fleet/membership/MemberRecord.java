package merlinlever.fleet.membership;

/**
 * What is believed, and told to peers, of a member.
 *
 * @param gossipAddress where it receives membership's datagrams
 * @param apiAddress where it takes commands
 * @param incarnation raised by the member itself alone
 */
public record MemberRecord(
        String name, String gossipAddress, String apiAddress, MemberStatus status, long incarnation) {

    /** Whether the member takes part, as far as is known: alive or only suspected. */
    public boolean isLive() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }
}
