package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import merlinlever.fleet.replication.EntryTable.EntryVersion;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/**
 * Chooses the messages to other replicas. A new entry is pushed to a few random replicas in two rounds, and each
 * replica that receives it for the first time pushes it as well (rumor mongering: Demers et al. 1987). A large entry is
 * announced by its version instead of being sent whole. Missed entries are repaired by anti-entropy: each round
 * compares the checksums of all buckets with one other replica, then the versions in the buckets that differ, and then
 * sends whole entries. The comparison is similar to Scuttlebutt (van Renesse et al. 2008), but uses buckets instead of
 * one version number per owner, as the entries of an owner may arrive out of order.
 */
final class Gossip {

    /** Larger entries are announced by their version and have to be requested. */
    private static final int MAX_PUSHED_ENTRY_BYTES = 1 << 10;
    /** Number of rounds in which a new entry is pushed; the second round makes up for most losses of the first. */
    private static final int PUSH_ROUNDS = 2;
    /** Space reserved for the header of a message. */
    private static final int HEADER_BYTES = 64;

    private final EntryTable table;
    private final ReplicatedStore.ReplicationSettings settings;
    private final Supplier<List<String>> peers;
    private final SplittableRandom random;
    /** Entries to push, with the number of remaining rounds. */
    private final LinkedHashMap<EntryKey, Integer> pushRoundsLeft = new LinkedHashMap<>();
    /** Expiry of each request in progress, so that no entry is requested from two replicas at once. */
    private final LinkedHashMap<EntryKey, Duration> requestExpiry = new LinkedHashMap<>();

    private Duration nextRound;
    private Duration budgetFilledAt;
    /** Number of bytes that may be sent now: a token bucket with a capacity of one second. */
    private long budgetBytes;

    /** @param peers the other replicas that are reachable now */
    Gossip(
            Duration now,
            EntryTable table,
            ReplicatedStore.ReplicationSettings settings,
            Supplier<List<String>> peers,
            SplittableRandom random) {
        this.table = table;
        this.settings = settings;
        this.peers = peers;
        this.random = random;
        nextRound = now.plusNanos(random.nextLong(settings.gossipInterval().toNanos()));
        budgetFilledAt = now;
        budgetBytes = settings.bytesPerSecond();
    }

    /** Schedules a new entry to be pushed in the next rounds. */
    void push(EntryKey key) {
        requestExpiry.remove(key);
        pushRoundsLeft.put(key, PUSH_ROUNDS);
    }

    boolean isRoundDue(Duration now) {
        return now.compareTo(nextRound) >= 0;
    }

    private void fillBudget(Duration now) {
        Duration elapsed = now.minus(budgetFilledAt);
        budgetFilledAt = now;
        double added =
                Math.min(1, elapsed.toNanos() / (double) Duration.ofSeconds(1).toNanos()) * settings.bytesPerSecond();
        budgetBytes = Math.min(settings.bytesPerSecond(), budgetBytes + (long) added);
    }

    /** Returns the messages of a round: new entries for a few replicas, and checksums for one replica. */
    List<OutgoingMessage> startRound(Duration now) {
        nextRound = now.plus(settings.gossipInterval());
        fillBudget(now);
        requestExpiry.values().removeIf(expiresAt -> now.compareTo(expiresAt) >= 0);
        List<OutgoingMessage> messages = new ArrayList<>();
        List<String> receivers = new ArrayList<>(peers.get());
        if (receivers.isEmpty()) {
            return messages;
        }
        int fanOut = Math.min(settings.fanOut(), receivers.size());
        shufflePrefix(receivers, fanOut);
        pushNewEntries(now, receivers.subList(0, fanOut), messages);
        messages.add(new OutgoingMessage(
                receivers.get(random.nextInt(receivers.size())), GossipCodec.encodeChecksums(table.bucketChecksums())));
        return messages;
    }

    /** Moves a random selection to the front of the list by a partial Fisher-Yates shuffle. */
    private void shufflePrefix(List<String> names, int length) {
        for (int i = 0; i < length; i++) {
            int chosen = i + random.nextInt(names.size() - i);
            String name = names.set(chosen, names.get(i));
            names.set(i, name);
        }
    }

    /** Pushes or announces new entries to the receivers; entries that exceed the budget wait for the next round. */
    private void pushNewEntries(Duration now, List<String> receivers, List<OutgoingMessage> messages) {
        List<StoredEntry> pushed = new ArrayList<>();
        List<EntryVersion> announced = new ArrayList<>();
        long bytes = 0;
        Iterator<Map.Entry<EntryKey, Integer>> candidates =
                pushRoundsLeft.entrySet().iterator();
        while (candidates.hasNext()) {
            Map.Entry<EntryKey, Integer> candidate = candidates.next();
            EntryKey key = candidate.getKey();
            StoredEntry entry = table.get(key);
            if (entry != null && table.isShareable(key)) {
                boolean small = GossipCodec.entryBytes(entry) <= MAX_PUSHED_ENTRY_BYTES;
                bytes += small ? GossipCodec.entryBytes(entry) : GossipCodec.versionBytes(table.version(key));
                if (bytes * receivers.size() > budgetBytes) {
                    break;
                }
                if (small) {
                    pushed.add(entry);
                } else {
                    announced.add(table.version(key));
                }
            }
            int roundsLeft = candidate.getValue() - 1;
            candidate.setValue(roundsLeft);
            if (roundsLeft <= 0 || entry == null) {
                candidates.remove();
            }
        }
        List<byte[]> bodies = new ArrayList<>(packEntries(now, pushed));
        bodies.addAll(packAnnouncements(announced));
        for (byte[] body : bodies) {
            receivers.forEach(receiver -> messages.add(new OutgoingMessage(receiver, body)));
            budgetBytes -= (long) body.length * receivers.size();
        }
    }

    private static List<byte[]> packEntries(Duration now, List<StoredEntry> entries) {
        return pack(entries, GossipCodec::entryBytes, batch -> GossipCodec.encodeEntries(now, batch));
    }

    private static List<byte[]> packAnnouncements(List<EntryVersion> versions) {
        return pack(versions, GossipCodec::versionBytes, batch -> GossipCodec.encodeVersions(0, batch));
    }

    /** Encodes the items in order, filling each message up to the size limit. */
    private static <T> List<byte[]> pack(List<T> items, ToIntFunction<T> itemBytes, Function<List<T>, byte[]> encoder) {
        List<byte[]> bodies = new ArrayList<>();
        List<T> batch = new ArrayList<>();
        int batchBytes = HEADER_BYTES;
        for (T item : items) {
            if (batchBytes + itemBytes.applyAsInt(item) > GossipCodec.MAX_MESSAGE_BYTES) {
                bodies.add(encoder.apply(batch));
                batch = new ArrayList<>();
                batchBytes = HEADER_BYTES;
            }
            batchBytes += itemBytes.applyAsInt(item);
            batch.add(item);
        }
        if (!batch.isEmpty()) {
            bodies.add(encoder.apply(batch));
        }
        return bodies;
    }

    /** Returns the answers to a message other than a batch of entries. */
    List<OutgoingMessage> answer(Duration now, String sender, GossipMessage message) {
        fillBudget(now);
        List<OutgoingMessage> answers = new ArrayList<>();
        if (message instanceof GossipMessage.BucketChecksums received) {
            answerChecksums(sender, received.checksums(), answers);
        } else if (message instanceof GossipMessage.VersionList list) {
            reconcile(now, sender, list, answers);
        } else if (message instanceof GossipMessage.EntryRequest request) {
            sendEntries(now, sender, request.keys(), answers);
        }
        return answers;
    }

    /** Sends the versions in as many differing buckets as fit, starting at a random bucket so that none is starved. */
    private void answerChecksums(String sender, long[] received, List<OutgoingMessage> answers) {
        long differing = 0;
        long[] own = table.bucketChecksums();
        for (int bucket = 0; bucket < received.length; bucket++) {
            differing |= received[bucket] != own[bucket] ? 1L << bucket : 0;
        }
        if (differing == 0) {
            return;
        }
        List<List<EntryVersion>> versionsByBucket = versionsByBucket(differing);
        List<EntryVersion> versions = new ArrayList<>();
        long completeBuckets = 0;
        int bytes = HEADER_BYTES;
        int first = random.nextInt(received.length);
        for (int i = 0; i < received.length; i++) {
            int bucket = (first + i) % received.length;
            if (((differing >>> bucket) & 1) == 0) {
                continue;
            }
            List<EntryVersion> candidates = versionsByBucket.get(bucket);
            int added = candidates.stream().mapToInt(GossipCodec::versionBytes).sum();
            if (bytes + added <= Math.min(GossipCodec.MAX_MESSAGE_BYTES, budgetBytes)) {
                bytes += added;
                completeBuckets |= 1L << bucket;
                versions.addAll(candidates);
            }
        }
        if (completeBuckets != 0) {
            budgetBytes -= bytes;
            answers.add(new OutgoingMessage(sender, GossipCodec.encodeVersions(completeBuckets, versions)));
        }
    }

    private List<List<EntryVersion>> versionsByBucket(long bucketMask) {
        List<List<EntryVersion>> byBucket = new ArrayList<>();
        for (int bucket = 0; bucket < EntryTable.BUCKET_COUNT; bucket++) {
            byBucket.add(new ArrayList<>());
        }
        table.versions(bucketMask).forEach(version -> byBucket.get(EntryTable.bucket(version.key()))
                .add(version));
        return byBucket;
    }

    /** Requests the entries that are newer at the sender and sends those that are newer here; in a conflict, both. */
    private void reconcile(Duration now, String sender, GossipMessage.VersionList list, List<OutgoingMessage> answers) {
        List<EntryKey> requested = new ArrayList<>();
        List<EntryKey> sent = new ArrayList<>();
        Set<EntryKey> listed = new HashSet<>();
        int bytes = HEADER_BYTES;
        for (EntryVersion remote : list.versions()) {
            EntryKey key = remote.key();
            listed.add(key);
            EntryVersion own = table.version(key);
            int comparison = own == null ? 1 : remote.compareVersion(own);
            boolean conflict = comparison == 0 && own.fingerprint() != remote.fingerprint();
            int keyBytes = GossipCodec.keyBytes(key);
            boolean fits = bytes + keyBytes <= GossipCodec.MAX_MESSAGE_BYTES;
            if ((comparison > 0 || conflict) && fits && mayRequest(key)) {
                bytes += keyBytes;
                requested.add(key);
                requestExpiry.put(key, now.plus(settings.gossipInterval()));
            }
            if (comparison < 0 || conflict) {
                sent.add(key);
            }
        }
        table.versions(list.completeBuckets()).stream()
                .map(EntryVersion::key)
                .filter(key -> !listed.contains(key))
                .forEach(sent::add);
        if (!requested.isEmpty() && bytes <= budgetBytes) {
            budgetBytes -= bytes;
            answers.add(new OutgoingMessage(sender, GossipCodec.encodeRequest(requested)));
        }
        sendEntries(now, sender, sent, answers);
    }

    private boolean mayRequest(EntryKey key) {
        return requestExpiry.size() < EntryTable.MAX_ENTRIES && !requestExpiry.containsKey(key);
    }

    private void sendEntries(Duration now, String receiver, List<EntryKey> keys, List<OutgoingMessage> messages) {
        List<StoredEntry> entries = new ArrayList<>();
        long bytes = HEADER_BYTES;
        for (EntryKey key : new LinkedHashSet<>(keys)) {
            StoredEntry entry = table.get(key);
            if (entry != null && table.isShareable(key) && bytes + GossipCodec.entryBytes(entry) <= budgetBytes) {
                bytes += GossipCodec.entryBytes(entry);
                entries.add(entry);
            }
        }
        for (byte[] body : packEntries(now, entries)) {
            budgetBytes -= body.length;
            messages.add(new OutgoingMessage(receiver, body));
        }
    }
}
