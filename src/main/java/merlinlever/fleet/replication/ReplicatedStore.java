package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.replication.EntryTable.MergeResult;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/**
 * One replica of the {@link SharedStore}. New entries are pushed to a few other replicas, and missed entries are
 * repaired by a comparison with one other replica in each round ({@link Gossip}). If the store is persistent, own
 * entries are published only once they are on disk, so that a restarted process continues from everything that others
 * have received. Must be used on the event loop only.
 */
public final class ReplicatedStore implements SharedStore {

    /**
     * Settings of a replica.
     *
     * @param gossipInterval time between gossip rounds
     * @param fanOut number of replicas to which a new entry is pushed in each round
     * @param retention time after which an entry is dropped if its owner doesn't refresh it
     * @param bytesPerSecond limit of the sent bytes per second, without checksum messages
     * @param persistent whether own entries are written to the disk before they are published ({@link #pendingWrite})
     */
    public record ReplicationSettings(
            Duration gossipInterval, int fanOut, Duration retention, int bytesPerSecond, boolean persistent) {

        private static final Duration DEFAULT_GOSSIP_INTERVAL = Duration.ofMillis(200);
        private static final int DEFAULT_FAN_OUT = 3;
        private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
        private static final int DEFAULT_BYTES_PER_SECOND = 512 << 10;

        /** Returns the default settings. */
        public static ReplicationSettings defaults(boolean persistent) {
            return new ReplicationSettings(
                    DEFAULT_GOSSIP_INTERVAL, DEFAULT_FAN_OUT, DEFAULT_RETENTION, DEFAULT_BYTES_PER_SECOND, persistent);
        }
    }

    /**
     * State that has to survive this process: its own entries and the last allocated version. The next process
     * allocates higher versions.
     *
     * @param incarnation incarnation of the last allocated version
     * @param sequence sequence of the last allocated version
     * @param entries the own entries, including removed ones
     */
    public record PersistedEntries(long incarnation, long sequence, List<VersionedEntry> entries) {
        /** State of a backend without persisted entries. */
        public static final PersistedEntries NONE = new PersistedEntries(0, 0, List.of());
    }

    /** Maximum valid incarnation or sequence. */
    static final long MAX_VERSION = 1L << 48;

    /** Number of rejected entries per log line. */
    private static final int REJECTIONS_PER_LOG_LINE = 1000;

    private final String self;
    private final ReplicationSettings settings;
    private final RetentionPolicy retention;
    private final EventLog log;
    private final EntryTable table = new EntryTable();
    private final OwnEntries own;
    private final Gossip gossip;
    private final PauseDetector pauses;
    private final List<EntryListener> listeners = new ArrayList<>();

    private long rejectedEntries;
    private long malformedMessages;

    /**
     * Creates a replica.
     *
     * @param incarnation incarnation of this process in the membership; new entries have at least this incarnation, and
     *     a higher one than the persisted entries
     * @param persisted the entries that the previous process wrote to disk, or {@link PersistedEntries#NONE}
     * @param peers the other replicas that are reachable now
     * @param log receives a line for each event that an operator may need
     */
    public ReplicatedStore(
            Duration now,
            String self,
            long incarnation,
            PersistedEntries persisted,
            ReplicationSettings settings,
            Supplier<List<String>> peers,
            SplittableRandom random,
            EventLog log) {
        this.self = self;
        this.settings = settings;
        this.log = log;
        own = new OwnEntries(self, Math.max(incarnation, persisted.incarnation + 1));
        retention = new RetentionPolicy(settings.retention);
        pauses = new PauseDetector(now);
        gossip = new Gossip(now, table, settings, peers, random);
        persisted.entries.forEach(entry -> table.merge(StoredEntry.of(entry, now)));
    }

    // ---- own entries

    @Override
    public boolean put(Duration now, String topic, byte[] value) {
        recordActivity(now);
        if (!GossipCodec.isValidKey(self, topic)
                || value.length > VersionedEntry.MAX_VALUE_BYTES
                || !own.hasRoomFor(topic, value)) {
            return false;
        }
        StoredEntry entry = own.nextVersion(now, topic, value.clone());
        if (!table.hasRoomFor(entry)) {
            return false;
        }
        addOwn(entry);
        return true;
    }

    @Override
    public void remove(Duration now, String topic) {
        recordActivity(now);
        if (own.contains(topic) || table.get(new EntryKey(self, topic)) != null) {
            addOwn(own.nextVersion(now, topic, null));
        }
    }

    private void addOwn(StoredEntry entry) {
        own.add(entry);
        if (!settings.persistent) {
            publishAll();
        }
    }

    private void publishAll() {
        publishUpTo(Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Publishes own entries up to the version; entries that don't fit into the table are kept for the next attempt. */
    private void publishUpTo(long incarnation, long sequence) {
        own.unpublished().removeIf(entry -> {
            boolean included = entry.incarnation() < incarnation
                    || (entry.incarnation() == incarnation && entry.sequence() <= sequence);
            return included && publish(entry);
        });
    }

    private boolean publish(StoredEntry entry) {
        MergeResult result = table.merge(entry);
        if (result == MergeResult.NEWER || result == MergeResult.CONFLICT) {
            gossip.push(entry.key());
        }
        return result != MergeResult.NO_ROOM;
    }

    /**
     * Returns the state to write to disk before further entries are published; empty if all own entries are published.
     */
    public Optional<PersistedEntries> pendingWrite() {
        if (own.unpublished().isEmpty()) {
            return Optional.empty();
        }
        TreeMap<String, VersionedEntry> byTopic = new TreeMap<>();
        for (StoredEntry entry : table.entries()) {
            if (entry.key().owner().equals(self) && !entry.isConflicted()) {
                byTopic.put(entry.key().topic(), entry.toVersionedEntry());
            }
        }
        own.all().forEach(entry -> byTopic.put(entry.key().topic(), entry.toVersionedEntry()));
        return Optional.of(new PersistedEntries(own.incarnation(), own.sequence(), List.copyOf(byTopic.values())));
    }

    /** Records that a state returned by {@link #pendingWrite} is on disk, and publishes its entries. */
    public void writeCompleted(PersistedEntries written) {
        publishUpTo(written.incarnation, written.sequence);
    }

    // ---- entries of other owners

    @Override
    public boolean relay(Duration now, VersionedEntry entry) {
        recordActivity(now);
        return isValidForeignEntry(entry) && accept(now, StoredEntry.of(entry, now), false) == MergeResult.NEWER;
    }

    private boolean isValidForeignEntry(VersionedEntry entry) {
        return GossipCodec.isValidKey(entry.owner(), entry.topic())
                && !entry.owner().equals(self)
                && (entry.value() == null || entry.value().length <= VersionedEntry.MAX_VALUE_BYTES)
                && Math.min(entry.incarnation(), entry.sequence()) >= 0
                && Math.max(entry.incarnation(), entry.sequence()) <= MAX_VERSION;
    }

    /** @param received whether the entry came from another backend, so that listeners are notified */
    private MergeResult accept(Duration now, StoredEntry entry, boolean received) {
        if (entry.age(now).compareTo(retention.shareableFor(entry)) >= 0) {
            return MergeResult.OLDER;
        }
        MergeResult result = table.merge(entry);
        switch (result) {
            case NEWER -> {
                gossip.push(entry.key());
                if (entry.key().owner().equals(self)) {
                    own.observeForeign(entry);
                } else if (received) {
                    VersionedEntry newer = entry.toVersionedEntry();
                    List.copyOf(listeners).forEach(listener -> listener.entryReceived(now, newer));
                }
            }
            case CONFLICT -> {
                gossip.push(entry.key());
                reportConflict(now, table.get(entry.key()).toConflict());
            }
            case NO_ROOM -> reportRejection(entry);
            case UNCHANGED, OLDER -> {}
        }
        return result;
    }

    private void reportConflict(Duration now, VersionConflict conflict) {
        log.info("replication-version-conflict owner=" + conflict.owner() + " topic=" + conflict.topic() + " version="
                + conflict.incarnation() + "." + conflict.sequence() + " digests=" + conflict.lowerDigest() + ","
                + conflict.higherDigest());
        List.copyOf(listeners).forEach(listener -> listener.conflictDetected(now, conflict));
    }

    private void reportRejection(StoredEntry entry) {
        if (rejectedEntries % REJECTIONS_PER_LOG_LINE == 0) {
            log.info("replication-table-full owner=" + entry.key().owner() + " topic="
                    + entry.key().topic() + " entries=" + table.size() + " bytes=" + table.sizeBytes());
        }
        rejectedEntries++;
    }

    // ---- queries

    @Override
    public Optional<VersionedEntry> get(String owner, String topic) {
        StoredEntry stored = table.get(new EntryKey(owner, topic));
        Optional<StoredEntry> ownEntry = owner.equals(self) ? own.get(topic) : Optional.empty();
        // An own entry is returned even before it is published, but not if it is part of a conflict.
        return ownEntry.filter(entry -> stored == null || !stored.isConflicted() || entry.isNewerThan(stored))
                .or(() -> Optional.ofNullable(stored))
                .filter(entry -> entry.value() != null)
                .map(StoredEntry::toVersionedEntry);
    }

    @Override
    public List<VersionedEntry> entries(String topic) {
        TreeMap<String, VersionedEntry> byOwner = new TreeMap<>();
        for (StoredEntry entry : table.entries()) {
            if (entry.key().topic().equals(topic) && entry.value() != null) {
                byOwner.put(entry.key().owner(), entry.toVersionedEntry());
            }
        }
        byOwner.remove(self);
        get(self, topic).ifPresent(entry -> byOwner.put(self, entry));
        return List.copyOf(byOwner.values());
    }

    @Override
    public List<VersionConflict> conflicts() {
        return table.entries().stream()
                .filter(StoredEntry::isConflicted)
                .map(StoredEntry::toConflict)
                .toList();
    }

    @Override
    public void addListener(EntryListener listener) {
        listeners.add(listener);
    }

    // ---- time and messages

    /** Has to be called every few tens of milliseconds; returns the messages that are due. */
    public List<OutgoingMessage> tick(Duration now) {
        recordActivity(now);
        if (!gossip.isRoundDue(now)) {
            return List.of();
        }
        table.expire(now, retention).forEach(entry -> notifyExpired(now, entry));
        own.removeExpiredTombstones(now, retention);
        if (own.raiseIncarnationIfOvertaken()) {
            log.info("entry-incarnation-raised incarnation=" + own.incarnation());
            own.all().forEach(entry -> republish(now, entry));
        }
        own.all().stream()
                .filter(entry -> entry.value() != null && entry.age(now).compareTo(retention.refreshInterval()) >= 0)
                .forEach(entry -> republish(now, entry));
        if (!settings.persistent) {
            publishAll();
        }
        return gossip.startRound(now);
    }

    private void republish(Duration now, StoredEntry entry) {
        addOwn(own.nextVersion(now, entry.key().topic(), entry.value()));
    }

    /** Handles a message from another replica; returns the answers. */
    public List<OutgoingMessage> receive(Duration now, String sender, byte[] body) {
        recordActivity(now);
        Optional<GossipMessage> message = GossipCodec.decode(body);
        if (message.isEmpty()) {
            malformedMessages++;
            return List.of();
        }
        if (message.get() instanceof GossipMessage.EntryBatch batch) {
            Duration bufferingDelay = pauses.possibleBufferingDelay(now);
            for (GossipMessage.AgedEntry agedEntry : batch.entries()) {
                Duration publishedAt = now.minusMillis(agedEntry.ageMs()).minus(bufferingDelay);
                accept(now, agedEntry.entry().withPublishedAt(publishedAt), true);
            }
            return List.of();
        }
        return gossip.answer(now, sender, message.get());
    }

    private void recordActivity(Duration now) {
        if (pauses.activity(now).compareTo(retention.maxPause()) >= 0) {
            discardForeignEntries(now);
        }
    }

    /**
     * Drops the entries of all other owners; they are fetched again from other replicas. Has to be called if this
     * replica was paused or cut off so long, by its own clock or as others report, that it may hold entries that others
     * have dropped.
     */
    public void discardForeignEntries(Duration now) {
        log.info("replication-foreign-entries-discarded held=" + table.size());
        for (StoredEntry entry : table.entries()) {
            if (!entry.key().owner().equals(self)) {
                table.remove(entry.key());
                notifyExpired(now, entry);
            }
        }
    }

    private void notifyExpired(Duration now, StoredEntry entry) {
        EntryKey key = entry.key();
        List.copyOf(listeners).forEach(listener -> listener.entryExpired(now, key.owner(), key.topic()));
    }

    /** Returns the SHA-256 of all entries in hexadecimal; equal replicas have equal digests. */
    public String digest() {
        return table.digest();
    }

    /** Returns the state for operators, as a JSON object. */
    public String statusJson() {
        return "{\"words\":" + table.size() + ",\"octets\":" + table.sizeBytes() + ",\"clashes\":"
                + conflicts().size() + ",\"refused\":" + rejectedEntries + ",\"malformed\":" + malformedMessages
                + ",\"waiting_for_disk\":" + own.unpublished().size() + ",\"digest\":\"" + digest().substring(0, 16)
                + "\"}";
    }
}
