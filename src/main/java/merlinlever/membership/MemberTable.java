package merlinlever.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.WireNamed;

/**
 * What one agent believes of all. Beliefs only move forward: by incarnation, which only the agent itself raises, and within
 * one by how much is said against it. So it does not matter in which order, how late or how often rumours come.
 */
public final class MemberTable {

    /** What is believed of an agent; a later one is more against it. */
    public enum MemberStatus implements WireNamed {
        ALIVE("alive"),
        SUSPECT("suspect"),
        DEAD("dead"),
        LEFT("left");

        private final String wireName;

        MemberStatus(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * What is told of an agent.
     *
     * @param gossip where it takes these datagrams
     * @param api where it takes commands
     */
    public record MemberRecord(String name, String gossip, String api, MemberStatus status, long incarnation) {}

    private final String self;
    private final Map<String, MemberRecord> all = new TreeMap<>();
    private boolean left;
    private long rivals;

    public MemberTable(String self, String gossip, String api, long incarnation) {
        this.self = self;
        all.put(self, new MemberRecord(self, gossip, api, MemberStatus.ALIVE, incarnation));
    }

    private MemberTable(MemberTable other) {
        self = other.self;
        all.putAll(other.all);
        left = other.left;
        rivals = other.rivals;
    }

    /** The same beliefs, going on for themselves. */
    MemberTable copy() {
        return new MemberTable(this);
    }

    public String self() {
        return self;
    }

    public MemberRecord of(String name) {
        return all.get(name);
    }

    /** In the order of the names. */
    public List<MemberRecord> all() {
        return new ArrayList<>(all.values());
    }

    public int size() {
        return all.size();
    }

    /** Whether the one says more than the other of the same agent. */
    public static boolean overrides(MemberRecord made, MemberRecord known) {
        return made.incarnation != known.incarnation
                ? made.incarnation > known.incarnation
                : made.status.compareTo(known.status) > 0;
    }

    /** Takes a rumour in; returns what is new to be told on, or null where it says nothing new. */
    public MemberRecord heard(MemberRecord rumour) {
        if (rumour.name.equals(self)) {
            MemberRecord mine = all.get(self);
            // Two lives that happen to be told under the same incarnation must not pass for one.
            boolean elsewhere = rumour.status == MemberStatus.ALIVE
                    && !rumour.gossip.equals(mine.gossip)
                    && rumour.incarnation >= mine.incarnation;
            if (left || (!elsewhere && !overrides(rumour, mine))) {
                return null;
            }
            rivals += elsewhere ? 1 : 0;
            // It is said of this one what is not so, or was so of its life before: a higher incarnation says better.
            MemberRecord better =
                    new MemberRecord(self, mine.gossip, mine.api, MemberStatus.ALIVE, rumour.incarnation + 1);
            all.put(self, better);
            return better;
        }
        MemberRecord known = all.get(rumour.name);
        if (known != null && !overrides(rumour, known)) {
            return null;
        }
        all.put(rumour.name, rumour);
        return rumour;
    }

    /**
     * How often it was heard that this one lives elsewhere, as far on or further. Once may be its life before; more
     * often there is another that answers what this one says.
     */
    public long rivals() {
        return rivals;
    }

    /** This one found no life in the other: it is suspected, unless more is known already. */
    public MemberRecord suspect(String name) {
        return against(name, MemberStatus.SUSPECT);
    }

    /** The suspicion was not refuted in time. */
    public MemberRecord dead(String name) {
        MemberRecord known = all.get(name);
        return known != null && known.status == MemberStatus.SUSPECT ? against(name, MemberStatus.DEAD) : null;
    }

    private MemberRecord against(String name, MemberStatus status) {
        MemberRecord known = all.get(name);
        return known == null || name.equals(self)
                ? null
                : heard(new MemberRecord(name, known.gossip, known.api, status, known.incarnation));
    }

    /** This one goes, in good order. */
    public MemberRecord leave() {
        left = true;
        MemberRecord mine = all.get(self);
        MemberRecord gone = new MemberRecord(self, mine.gossip, mine.api, MemberStatus.LEFT, mine.incarnation);
        all.put(self, gone);
        return gone;
    }

    /** Lets go of one that is gone for good, as far as its user is concerned. */
    void forget(String name) {
        all.remove(name);
    }
}
