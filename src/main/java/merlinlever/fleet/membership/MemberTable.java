package merlinlever.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The records of all members as known to one member. A record is replaced only by one with a higher incarnation, which
 * only the member itself raises, or by one with a later {@link MemberStatus} of the same incarnation. The result of
 * merging updates therefore does not depend on their order, delay or duplication. Not thread-safe.
 */
public final class MemberTable {

    private final String self;
    private final Map<String, MemberRecord> records = new TreeMap<>();
    private boolean hasLeft;
    private long addressConflicts;

    /** Creates a table with this member as the only member, which is alive. */
    public MemberTable(String self, String gossipAddress, String apiAddress, long incarnation) {
        this.self = self;
        records.put(self, new MemberRecord(self, gossipAddress, apiAddress, MemberStatus.ALIVE, incarnation));
    }

    private MemberTable(MemberTable other) {
        self = other.self;
        records.putAll(other.records);
        hasLeft = other.hasLeft;
        addressConflicts = other.addressConflicts;
    }

    /** Returns an independent copy of this table. */
    MemberTable copy() {
        return new MemberTable(this);
    }

    /** Returns the name of this member. */
    public String self() {
        return self;
    }

    /** Returns the record of this member. */
    public MemberRecord ownRecord() {
        return records.get(self);
    }

    /** Returns the record of a member; empty if the member is unknown. */
    public Optional<MemberRecord> find(String name) {
        return Optional.ofNullable(records.get(name));
    }

    /** Returns a copy of all records, sorted by name. */
    public List<MemberRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** Returns the number of known members, including this member and members that are dead or have left. */
    public int size() {
        return records.size();
    }

    /** Returns whether an update overrides the current record of the same member. */
    public static boolean supersedes(MemberRecord update, MemberRecord current) {
        return update.incarnation() != current.incarnation()
                ? update.incarnation() > current.incarnation()
                : update.status().compareTo(current.status()) > 0;
    }

    /** Merges an update and returns the record to gossip; empty if the table did not change. */
    public Optional<MemberRecord> merge(MemberRecord update) {
        if (update.name().equals(self)) {
            return refute(update);
        }
        MemberRecord current = records.get(update.name());
        if (current != null && !supersedes(update, current)) {
            return Optional.empty();
        }
        records.put(update.name(), update);
        return Optional.of(update);
    }

    /**
     * Refutes a wrong or outdated update about this member by raising its incarnation. An update with a different
     * address is refuted too, so that peers can distinguish two processes with the same name and incarnation.
     */
    private Optional<MemberRecord> refute(MemberRecord update) {
        MemberRecord own = ownRecord();
        boolean hasOtherAddress = update.status() == MemberStatus.ALIVE
                && !update.gossipAddress().equals(own.gossipAddress())
                && update.incarnation() >= own.incarnation();
        if (hasLeft || (!hasOtherAddress && !supersedes(update, own))) {
            return Optional.empty();
        }
        if (hasOtherAddress) {
            addressConflicts++;
        }
        MemberRecord refutation = new MemberRecord(
                self, own.gossipAddress(), own.apiAddress(), MemberStatus.ALIVE, update.incarnation() + 1);
        records.put(self, refutation);
        return Optional.of(refutation);
    }

    /**
     * Returns how often this member was reported alive at another address with the same or a higher incarnation. A
     * single report can stem from an earlier process of this member; several reports mean that another process uses its
     * name.
     */
    public long addressConflicts() {
        return addressConflicts;
    }

    /**
     * Marks a peer that did not reply as suspect, unless its record already has a later status.
     *
     * @return the record to gossip, as for {@link #merge}
     */
    public Optional<MemberRecord> markSuspect(String name) {
        return downgrade(name, MemberStatus.SUSPECT);
    }

    /**
     * Marks a suspect peer as dead because it did not refute the suspicion in time.
     *
     * @return the record to gossip, as for {@link #merge}
     */
    public Optional<MemberRecord> markDead(String name) {
        MemberRecord current = records.get(name);
        return current != null && current.status() == MemberStatus.SUSPECT
                ? downgrade(name, MemberStatus.DEAD)
                : Optional.empty();
    }

    private Optional<MemberRecord> downgrade(String name, MemberStatus status) {
        MemberRecord current = records.get(name);
        return current == null || name.equals(self)
                ? Optional.empty()
                : merge(new MemberRecord(
                        name, current.gossipAddress(), current.apiAddress(), status, current.incarnation()));
    }

    /** Marks this member as having left gracefully and returns the record to gossip. */
    public MemberRecord markSelfLeft() {
        hasLeft = true;
        MemberRecord own = ownRecord();
        MemberRecord left =
                new MemberRecord(self, own.gossipAddress(), own.apiAddress(), MemberStatus.LEFT, own.incarnation());
        records.put(self, left);
        return left;
    }

    /** Removes a member whose record has passed its retention time. */
    void remove(String name) {
        records.remove(name);
    }
}
