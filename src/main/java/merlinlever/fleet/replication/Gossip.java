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
 * Decides which messages go to whom. A new entry goes to some random replicas in two rounds, whole if it is small and as its version if
 * not, and each replica that takes it as new does the same (rumour mongering that ends by itself: Demers et al. 1987). What that misses is
 * repaired by comparing with one other replica each round (anti-entropy): first checksums of all buckets, then the versions in buckets
 * that differ, then whole entries (as Scuttlebutt: van Renesse et al. 2008; by buckets instead of one number per owner, as entries
 * arrive out of order here).
 */
final class Gossip {

    /** An entry up to that size is pushed whole, a larger one is announced and has to be requested. */
    private static final int MAX_PUSHED_ENTRY_BYTES = 1 << 10;
    /** Rounds in which a new entry is pushed; the second makes up for most losses of the first. */
    private static final int PUSH_ROUNDS = 2;
    /** Reserved for the header of a message. */
    private static final int HEADER_BYTES = 64;

    private final EntryTable table;
    private final ReplicatedStore.ReplicationSettings settings;
    private final Supplier<List<String>> peers;
    private final SplittableRandom random;
    /** Entries to be pushed, with the rounds that are left. */
    private final LinkedHashMap<EntryKey, Integer> pushRoundsLeft = new LinkedHashMap<>();
    /** Until when an answer is waited for, so that nothing is requested from two replicas at once. */
    private final LinkedHashMap<EntryKey, Duration> requestedUntil = new LinkedHashMap<>();

    private Duration nextRound;
    private Duration budgetFilledAt;
    /** Bytes that may be sent now (a token bucket that holds one second's worth). */
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

    /** Has an entry that is new here pushed in the next rounds. */
    void push(EntryKey key) {
        requestedUntil.remove(key);
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

    /** The messages of a round: new entries to some replicas, and checksums to one. */
    List<OutgoingMessage> startRound(Duration now) {
        nextRound = now.plus(settings.gossipInterval());
        fillBudget(now);
        requestedUntil.values().removeIf(until -> now.compareTo(until) >= 0);
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

    /** Puts a random selection at the beginning of the list (the first steps of a Fisher-Yates shuffle). */
    private void shufflePrefix(List<String> names, int length) {
        for (int i = 0; i < length; i++) {
            int chosen = i + random.nextInt(names.size() - i);
            String name = names.set(chosen, names.get(i));
            names.set(i, name);
        }
    }

    /** Pushes or announces new entries, all to the same receivers; what exceeds the budget waits for the next round. */
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

    /** Encodes the items in as few messages as the limit of their size allows, in order. */
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

    /** The answers to a message other than a batch of entries. */
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

    /** Sends the versions in the buckets that differ, as many as fit, from a random bucket on so that each gets its turn. */
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

    /** Requests what is newer at the sender, and sends what is newer here; in a conflict both. */
    private void reconcile(Duration now, String sender, GossipMessage.VersionList list, List<OutgoingMessage> answers) {
        List<EntryKey> requested = new ArrayList<>();
        List<EntryKey> sent = new ArrayList<>();
        Set<EntryKey> listed = new HashSet<>();
        int bytes = HEADER_BYTES;
        for (EntryVersion theirs : list.versions()) {
            EntryKey key = theirs.key();
            listed.add(key);
            EntryVersion own = table.version(key);
            int comparison = own == null ? 1 : theirs.compareVersion(own);
            boolean conflict = comparison == 0 && own.fingerprint() != theirs.fingerprint();
            int keyBytes = GossipCodec.keyBytes(key);
            boolean fits = bytes + keyBytes <= GossipCodec.MAX_MESSAGE_BYTES;
            if ((comparison > 0 || conflict) && fits && mayRequest(key)) {
                bytes += keyBytes;
                requested.add(key);
                requestedUntil.put(key, now.plus(settings.gossipInterval()));
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
        return requestedUntil.size() < EntryTable.MAX_ENTRIES && !requestedUntil.containsKey(key);
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
