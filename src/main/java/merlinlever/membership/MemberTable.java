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
     * @param gossipAddress where it takes these datagrams
     * @param apiAddress where it takes commands
     */
    public record MemberRecord(String name, String gossipAddress, String apiAddress, MemberStatus status, long incarnation) {}

    private final String self;
    private final Map<String, MemberRecord> records = new TreeMap<>();
    private boolean hasLeft;
    private long addressConflicts;

    public MemberTable(String self, String gossip, String api, long incarnation) {
        this.self = self;
        records.put(self, new MemberRecord(self, gossip, api, MemberStatus.ALIVE, incarnation));
    }

    private MemberTable(MemberTable other) {
        self = other.self;
        records.putAll(other.records);
        hasLeft = other.hasLeft;
        addressConflicts = other.addressConflicts;
    }

    /** The same beliefs, going on for themselves. */
    MemberTable copy() {
        return new MemberTable(this);
    }

    public String self() {
        return self;
    }

    public MemberRecord find(String name) {
        return records.get(name);
    }

    /** In the order of the names. */
    public List<MemberRecord> all() {
        return new ArrayList<>(records.values());
    }

    public int size() {
        return records.size();
    }

    /** Whether the one says more than the other of the same agent. */
    public static boolean supersedes(MemberRecord update, MemberRecord current) {
        return update.incarnation != current.incarnation
                ? update.incarnation > current.incarnation
                : update.status.compareTo(current.status) > 0;
    }

    /** Takes a rumour in; returns what is new to be told on, or null where it says nothing new. */
    public MemberRecord merge(MemberRecord update) {
        if (update.name.equals(self)) {
            MemberRecord own = records.get(self);
            // Two lives that happen to be told under the same incarnation must not pass for one.
            boolean elsewhere = update.status == MemberStatus.ALIVE
                    && !update.gossipAddress.equals(own.gossipAddress)
                    && update.incarnation >= own.incarnation;
            if (hasLeft || !elsewhere && !supersedes(update, own)) {
                return null;
            }
            addressConflicts += elsewhere ? 1 : 0;
            // It is said of this one what is not so, or was so of its life before: a higher incarnation says better.
            MemberRecord refutation =
                    new MemberRecord(self, own.gossipAddress, own.apiAddress, MemberStatus.ALIVE, update.incarnation + 1);
            records.put(self, refutation);
            return refutation;
        }
        MemberRecord current = records.get(update.name);
        if (current != null && !supersedes(update, current)) {
            return null;
        }
        records.put(update.name, update);
        return update;
    }

    /**
     * How often it was heard that this one lives elsewhere, as far on or further. Once may be its life before; more
     * often there is another that answers what this one says.
     */
    public long addressConflicts() {
        return addressConflicts;
    }

    /** This one found no life in the other: it is suspected, unless more is known already. */
    public MemberRecord markSuspect(String name) {
        return downgrade(name, MemberStatus.SUSPECT);
    }

    /** The suspicion was not refuted in time. */
    public MemberRecord markDead(String name) {
        MemberRecord current = records.get(name);
        return current != null && current.status == MemberStatus.SUSPECT ? downgrade(name, MemberStatus.DEAD) : null;
    }

    private MemberRecord downgrade(String name, MemberStatus status) {
        MemberRecord current = records.get(name);
        return current == null || name.equals(self)
                ? null
                : merge(new MemberRecord(name, current.gossipAddress, current.apiAddress, status, current.incarnation));
    }

    /** This one goes, in good order. */
    public MemberRecord markSelfLeft() {
        hasLeft = true;
        MemberRecord own = records.get(self);
        MemberRecord departed = new MemberRecord(self, own.gossipAddress, own.apiAddress, MemberStatus.LEFT, own.incarnation);
        records.put(self, departed);
        return departed;
    }

    /** Lets go of one that is gone for good, as far as its user is concerned. */
    void remove(String name) {
        records.remove(name);
    }
}
