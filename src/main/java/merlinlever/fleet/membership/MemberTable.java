package merlinlever.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What one member believes of all. Beliefs only move forward: by incarnation, which only the member itself raises, and within
 * one by how much is said against it. So it does not matter in which order, how late or how often updates come. Not
 * thread-safe.
 */
public final class MemberTable {

    private final String self;
    private final Map<String, MemberRecord> records = new TreeMap<>();
    private boolean hasLeft;
    private long addressConflicts;

    /** A table that knows this member alone, which is alive. */
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

    /** An independent table with the same beliefs. */
    MemberTable copy() {
        return new MemberTable(this);
    }

    /** Name of this member. */
    public String self() {
        return self;
    }

    /** The record of this member itself. */
    public MemberRecord ownRecord() {
        return records.get(self);
    }

    /** What is believed of a member; empty where it is not known. */
    public Optional<MemberRecord> find(String name) {
        return Optional.ofNullable(records.get(name));
    }

    /** A copy of all records, in the order of the names. */
    public List<MemberRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** How many members are known, this one and the dead among them. */
    public int size() {
        return records.size();
    }

    /** Whether an update says more than the current record of the same member. */
    public static boolean supersedes(MemberRecord update, MemberRecord current) {
        return update.incarnation() != current.incarnation()
                ? update.incarnation() > current.incarnation()
                : update.status().compareTo(current.status()) > 0;
    }

    /** Takes in an update; returns the record to be gossiped on, none where it says nothing new. */
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
     * Answers an update about this member itself that is wrong, or was true of an earlier incarnation, with a higher incarnation.
     * Two processes that happen to have the same incarnation must not pass for one, so another address is refuted too.
     */
    private Optional<MemberRecord> refute(MemberRecord update) {
        MemberRecord own = ownRecord();
        boolean isElsewhere = update.status() == MemberStatus.ALIVE
                && !update.gossipAddress().equals(own.gossipAddress())
                && update.incarnation() >= own.incarnation();
        if (hasLeft || (!isElsewhere && !supersedes(update, own))) {
            return Optional.empty();
        }
        if (isElsewhere) {
            addressConflicts++;
        }
        MemberRecord refutation = new MemberRecord(
                self, own.gossipAddress(), own.apiAddress(), MemberStatus.ALIVE, update.incarnation() + 1);
        records.put(self, refutation);
        return Optional.of(refutation);
    }

    /**
     * How often this member was reported alive at another address, with the same or a higher incarnation. One report may be of its
     * own earlier process; more mean that another process uses its name.
     */
    public long addressConflicts() {
        return addressConflicts;
    }

    /** This member got no answer from a peer: it is suspected, unless more is known already; returns as {@link #merge}. */
    public Optional<MemberRecord> markSuspect(String name) {
        return downgrade(name, MemberStatus.SUSPECT);
    }

    /** The suspicion of a peer was not refuted in time; returns as {@link #merge}. */
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

    /** This member leaves in good order; returns the record to be gossiped. */
    public MemberRecord markSelfLeft() {
        hasLeft = true;
        MemberRecord own = ownRecord();
        MemberRecord departed =
                new MemberRecord(self, own.gossipAddress(), own.apiAddress(), MemberStatus.LEFT, own.incarnation());
        records.put(self, departed);
        return departed;
    }

    /** Removes a member that has been gone for long enough. */
    void remove(String name) {
        records.remove(name);
    }
}
