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
 * One replica of the {@link SharedStore}. New entries are pushed to some replicas at once, and each round one other replica is compared
 * with, which repairs whatever was missed ({@link Gossip}). If the store is persistent, own entries are published only once they are on
 * the disk, so that a restarted process never publishes less than others have received. Event loop only.
 */
public final class ReplicatedStore implements SharedStore {

    /**
     * Settings of a replica.
     *
     * @param gossipInterval between rounds
     * @param fanOut replicas that a new entry is pushed to in each round
     * @param retention entries that their owner doesn't refresh are dropped after this time
     * @param bytesPerSecond limit for sent messages, checksums excepted
     * @param persistent whether own entries are written to the disk before they are published ({@link #pendingWrite})
     */
    public record ReplicationSettings(
            Duration gossipInterval, int fanOut, Duration retention, int bytesPerSecond, boolean persistent) {

        private static final Duration DEFAULT_GOSSIP_INTERVAL = Duration.ofMillis(200);
        private static final int DEFAULT_FAN_OUT = 3;
        private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
        private static final int DEFAULT_BYTES_PER_SECOND = 512 << 10;

        /** The settings of production. */
        public static ReplicationSettings defaults(boolean persistent) {
            return new ReplicationSettings(
                    DEFAULT_GOSSIP_INTERVAL, DEFAULT_FAN_OUT, DEFAULT_RETENTION, DEFAULT_BYTES_PER_SECOND, persistent);
        }
    }

    /**
     * What has to survive this process: its own entries, and the last version it used, above which the next process starts.
     *
     * @param incarnation of the last version used
     * @param sequence of the last version used
     */
    public record PersistedEntries(long incarnation, long sequence, List<VersionedEntry> entries) {
        /** Nothing was persisted before. */
        public static final PersistedEntries NONE = new PersistedEntries(0, 0, List.of());
    }

    /** No valid incarnation or sequence is higher. */
    static final long MAX_VERSION = 1L << 48;

    /** Only each so many rejections for want of room are logged. */
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
     * @param incarnation of this process in the membership; versions start above it and above what was persisted
     * @param persisted what the process before wrote to the disk, or {@link PersistedEntries#NONE}
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
        noteActivity(now);
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
        noteActivity(now);
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

    /** Publishes own entries up to that version; what the table has no room for is tried again. */
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

    /** What has to be written before more is published; nothing if all of it is on the disk. */
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

    /** What {@link #pendingWrite} returned is on the disk, and is published now. */
    public void writeCompleted(PersistedEntries written) {
        publishUpTo(written.incarnation, written.sequence);
    }

    // ---- entries of others

    @Override
    public boolean relay(Duration now, VersionedEntry entry) {
        noteActivity(now);
        return isValidForeignEntry(entry) && accept(now, StoredEntry.of(entry, now), false) == MergeResult.NEWER;
    }

    private boolean isValidForeignEntry(VersionedEntry entry) {
        return GossipCodec.isValidKey(entry.owner(), entry.topic())
                && !entry.owner().equals(self)
                && (entry.value() == null || entry.value().length <= VersionedEntry.MAX_VALUE_BYTES)
                && Math.min(entry.incarnation(), entry.sequence()) >= 0
                && Math.max(entry.incarnation(), entry.sequence()) <= MAX_VERSION;
    }

    /** @param received whether it came from another backend, so that listeners are notified */
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

    // ---- reading

    @Override
    public Optional<VersionedEntry> get(String owner, String topic) {
        StoredEntry stored = table.get(new EntryKey(owner, topic));
        Optional<StoredEntry> unpublishedOrOwn = owner.equals(self) ? own.get(topic) : Optional.empty();
        // An own entry counts before it is published, but not over a conflict that it is part of.
        return unpublishedOrOwn
                .filter(entry -> stored == null || !stored.isConflicted() || entry.isNewerThan(stored))
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

    /** Is called every few ten milliseconds; returns the messages that are due. */
    public List<OutgoingMessage> tick(Duration now) {
        noteActivity(now);
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
        noteActivity(now);
        Optional<GossipMessage> message = GossipCodec.decode(body);
        if (message.isEmpty()) {
            malformedMessages++;
            return List.of();
        }
        if (message.get() instanceof GossipMessage.EntryBatch batch) {
            Duration bufferingDelay = pauses.possibleBufferingDelay(now);
            for (GossipMessage.AgedEntry aged : batch.entries()) {
                Duration publishedAt = now.minusMillis(aged.ageMs()).minus(bufferingDelay);
                accept(now, aged.entry().withPublishedAt(publishedAt), true);
            }
            return List.of();
        }
        return gossip.answer(now, sender, message.get());
    }

    private void noteActivity(Duration now) {
        if (pauses.activity(now).compareTo(retention.maxPause()) >= 0) {
            discardForeignEntries(now);
        }
    }

    /**
     * Drops the entries of all other owners, to be fetched anew from other replicas. For a replica that was paused or cut off for so long, by
     * its own clock or as others report, that it may hold what they have dropped.
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

    /** SHA-256 over all entries in hexadecimal: equal where two replicas are. */
    public String digest() {
        return table.digest();
    }

    /** The state for operators, as a JSON object. */
    public String statusJson() {
        return "{\"words\":" + table.size() + ",\"octets\":" + table.sizeBytes() + ",\"clashes\":"
                + conflicts().size() + ",\"refused\":" + rejectedEntries + ",\"malformed\":" + malformedMessages
                + ",\"waiting_for_disk\":" + own.unpublished().size() + ",\"digest\":\"" + digest().substring(0, 16)
                + "\"}";
    }
}
