package merlinlever.backend;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/**
 * The requests that duplicates can find, by their {@link DuplicateKey}. An entry exists from the arrival of the request
 * on, before it can run, and counts for duplicates that arrived in its time, however late those are read.
 */
final class IdempotencyCache {

    /** How long after its expiry a result is still found; a duplicate that is read later than that fails. */
    private static final Duration MAX_READ_DELAY = Duration.ofSeconds(2);

    /**
     * A request under its key.
     *
     * @param expiresAt null as long as the controller has not decided how long the request is retained
     * @param previous the request that ran before under the same key, as long as this one has not started; else null
     */
    private record Entry(TrackedRequest request, Duration expiresAt, Entry previous) {

        boolean covers(TrackedRequest duplicate) {
            return expiresAt == null || duplicate.arrivedAt().compareTo(expiresAt) <= 0;
        }

        Entry withoutPrevious() {
            return new Entry(request, expiresAt, null);
        }
    }

    private final Map<String, Entry> entriesByKey = new HashMap<>();
    private final PriorityQueue<Entry> expirations = new PriorityQueue<>(Comparator.comparing(Entry::expiresAt));

    /**
     * Registers a request that has just been received under its key, if it has one, unless it is a duplicate.
     *
     * @return the handle of the request that it duplicates, as the controller is to be told, or null. An idempotency
     *     key that comes with another body belongs to an unknown request: the controller lets such a duplicate fail.
     */
    RequestHandle register(TrackedRequest request) {
        DuplicateKey key = request.duplicateKey();
        TrackedRequest original = key == null ? null : findOrRegister(request, key);
        request.setDuplicateOf(original);
        if (original == null) {
            return null;
        }
        boolean bodyMustMatch = key.kind() == DuplicateKey.Kind.IDEMPOTENCY_KEY;
        return !bodyMustMatch || original.hasSameContentAs(request)
                ? original.handle()
                : ControllerDriver.UNKNOWN_REQUEST;
    }

    /** The request that this one duplicates, or null; then this one is registered. */
    private TrackedRequest findOrRegister(TrackedRequest request, DuplicateKey key) {
        Entry entry = entriesByKey.get(key.text());
        Entry lastRun = entry == null || entry.request.isLaunched() ? entry : entry.previous;
        // A duplicate from the time of the last run belongs to that, also where a later request is registered by now.
        if (lastRun != null && lastRun.covers(request)) {
            return lastRun.request;
        }
        // The retention can be shorter than the run: with an effect at stake, the run counts until it ends.
        boolean runsOnce = key.kind() == DuplicateKey.Kind.IDEMPOTENCY_KEY;
        if (entry != null && (entry.covers(request) || (runsOnce && !entry.request.hasEnded()))) {
            return entry.request;
        }
        entriesByKey.put(key.text(), new Entry(request, null, lastRun == null ? null : lastRun.withoutPrevious()));
        return null;
    }

    /** The request whose outcome this duplicate is to share, or null. */
    TrackedRequest findOriginal(TrackedRequest duplicate) {
        TrackedRequest original = duplicate.duplicateOf();
        while (original != null && !original.isLaunched() && original.duplicateOf() != null) {
            original = original.duplicateOf();
        }
        if (original != null && original.isLaunched()) {
            return original;
        }
        // The original ended without running, and another duplicate may have taken its place.
        Entry entry = entryOf(duplicate);
        return entry == null ? null : entry.request;
    }

    /** The request was answered: if it never ran, no duplicate is to find it. */
    void evictIfNeverRun(TrackedRequest request) {
        if (!request.isLaunched()) {
            evict(request);
        }
    }

    /**
     * The run of the request has ended. If no duplicate can find it, its payloads are released; if its retention is
     * over already, it is retained up to now, for the duplicates that arrived during the run.
     */
    void runEnded(TrackedRequest request, Duration now) {
        Entry entry = entryOf(request);
        if (entry == null || entry.request != request) {
            releasePayloads(request);
        } else if (entry.expiresAt != null && entry.expiresAt.compareTo(now) < 0) {
            retain(request, now);
        }
    }

    /** Duplicates that arrive until then are to find the request. */
    void retain(TrackedRequest request, Duration until) {
        if (request.duplicateKey() == null) {
            return;
        }
        Entry replaced = entryOf(request);
        Entry entry = new Entry(request, until, replaced == null ? null : replaced.previous);
        entriesByKey.put(request.duplicateKey().text(), entry);
        expirations.add(entry);
    }

    /** No duplicate is to find the request any more; if it never ran, the run before it is found again. */
    void evict(TrackedRequest request) {
        Entry entry = entryOf(request);
        if (entry != null && entry.request == request) {
            if (request.isLaunched() || entry.previous == null || entry.previous.request.isReleased()) {
                entriesByKey.remove(request.duplicateKey().text());
            } else {
                entriesByKey.put(request.duplicateKey().text(), entry.previous);
            }
        }
        if (!request.isLaunched()) {
            request.releaseBody();
        }
    }

    /** Releases the payloads of requests that no duplicate can ask for any more. */
    void releaseExpired(Duration now) {
        while (!expirations.isEmpty()
                && expirations.peek().expiresAt.plus(MAX_READ_DELAY).compareTo(now) < 0) {
            Entry expired = expirations.poll();
            Entry current = entryOf(expired.request);
            boolean renewed = current != null
                    && current.request == expired.request
                    && !expired.expiresAt.equals(current.expiresAt);
            if (!renewed && expired.request.hasEnded()) {
                releasePayloads(expired.request);
            }
        }
    }

    /** The entry under the key of the request, which may be of another request; null if there is none. */
    private Entry entryOf(TrackedRequest request) {
        return request.duplicateKey() == null
                ? null
                : entriesByKey.get(request.duplicateKey().text());
    }

    private static void releasePayloads(TrackedRequest request) {
        request.releasePayloads();
    }
}
