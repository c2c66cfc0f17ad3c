package merlinlever.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Which peer is pinged next, and random choices among live peers. Not thread-safe. */
final class ProbeSchedule {

    private final MemberTable memberTable;
    private final SplittableRandom random;
    /** The rest of the present round. */
    private final ArrayDeque<String> round = new ArrayDeque<>();

    ProbeSchedule(MemberTable memberTable, SplittableRandom random) {
        this.memberTable = memberTable;
        this.random = random;
    }

    /** All live peers in turn, in an order that is drawn anew each round (SWIM section 4.3). */
    Optional<String> nextTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!round.isEmpty()) {
                Optional<MemberRecord> member = memberTable.find(round.poll()).filter(MemberRecord::isLive);
                if (member.isPresent()) {
                    return member.map(MemberRecord::name);
                }
            }
            shuffledLivePeers().forEach(peer -> round.add(peer.name()));
        }
        return Optional.empty();
    }

    /** The peers that are alive or only suspected, in a random order. */
    List<MemberRecord> shuffledLivePeers() {
        List<MemberRecord> peers = new ArrayList<>();
        for (MemberRecord member : memberTable.records()) {
            if (!member.name().equals(memberTable.self()) && member.isLive()) {
                peers.add(member);
            }
        }
        shuffle(peers);
        return peers;
    }

    /** Not {@code Collections.shuffle}, which takes no {@code SplittableRandom} in Java 17. */
    private void shuffle(List<MemberRecord> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
