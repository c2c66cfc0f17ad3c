package merlinlever.backend;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/**
 * Finds the original of a duplicate by {@link DuplicateKey}. A request is registered when it is received, before it can
 * run. An entry applies to duplicates that arrive until the entry expires, even if they are read later.
 */
final class IdempotencyCache {

    /** How long a result is kept after its entry expires, for duplicates that arrived in time but are read late. */
    private static final Duration MAX_READ_DELAY = Duration.ofSeconds(2);

    /**
     * The request registered under a key.
     *
     * @param expiresAt the last arrival time that the entry applies to; null until the controller sets the retention
     * @param previous the entry of the last request with the key that ran, until this request starts; null if there is
     *     none
     */
    private record Entry(TrackedRequest request, Duration expiresAt, Entry previous) {

        boolean appliesTo(TrackedRequest duplicate) {
            return expiresAt == null || duplicate.arrivedAt().compareTo(expiresAt) <= 0;
        }

        Entry withoutPrevious() {
            return new Entry(request, expiresAt, null);
        }
    }

    private final Map<String, Entry> entriesByKey = new HashMap<>();
    private final PriorityQueue<Entry> expirations = new PriorityQueue<>(Comparator.comparing(Entry::expiresAt));

    /**
     * Registers a received request under its key, unless the request has no key or is a duplicate.
     *
     * @return the handle of the duplicated request, for the controller; null if the request is no duplicate. A request
     *     that reuses an idempotency key with a different body gets the handle of an unknown request, so that the
     *     controller fails it.
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

    /** Returns the request that the given one duplicates, or registers the given one and returns null. */
    private TrackedRequest findOrRegister(TrackedRequest request, DuplicateKey key) {
        Entry entry = entriesByKey.get(key.text());
        Entry lastRun = entry == null || entry.request.isLaunched() ? entry : entry.previous;
        // A duplicate that arrived before the last run's entry expired shares that run, even if a later request is
        // registered by now.
        if (lastRun != null && lastRun.appliesTo(request)) {
            return lastRun.request;
        }
        // The retention can be shorter than the run. A run with side effects keeps its key until the run ends.
        boolean runsOnce = key.kind() == DuplicateKey.Kind.IDEMPOTENCY_KEY;
        if (entry != null && (entry.appliesTo(request) || (runsOnce && !entry.request.hasEnded()))) {
            return entry.request;
        }
        entriesByKey.put(key.text(), new Entry(request, null, lastRun == null ? null : lastRun.withoutPrevious()));
        return null;
    }

    /** Returns the request whose outcome the duplicate shares, or null if there is none. */
    TrackedRequest findOriginal(TrackedRequest duplicate) {
        TrackedRequest original = duplicate.duplicateOf();
        while (original != null && !original.isLaunched() && original.duplicateOf() != null) {
            original = original.duplicateOf();
        }
        if (original != null && original.isLaunched()) {
            return original;
        }
        // The original ended without running; another duplicate may be registered in its place.
        Entry entry = findEntry(duplicate);
        return entry == null ? null : entry.request;
    }

    /** Evicts an answered request if it never ran, so that no duplicate shares its outcome. */
    void evictIfNeverRun(TrackedRequest request) {
        if (!request.isLaunched()) {
            evict(request);
        }
    }

    /**
     * Handles the end of the request's run. Releases the payloads if no duplicate can find the request. Extends an
     * expired entry to the present time, for duplicates that arrived during the run.
     */
    void runEnded(TrackedRequest request, Duration now) {
        Entry entry = findEntry(request);
        if (entry == null || entry.request != request) {
            releasePayloads(request);
        } else if (entry.expiresAt != null && entry.expiresAt.compareTo(now) < 0) {
            retain(request, now);
        }
    }

    /** Lets duplicates that arrive until the given time find the request. */
    void retain(TrackedRequest request, Duration until) {
        if (request.duplicateKey() == null) {
            return;
        }
        Entry replaced = findEntry(request);
        Entry entry = new Entry(request, until, replaced == null ? null : replaced.previous);
        entriesByKey.put(request.duplicateKey().text(), entry);
        expirations.add(entry);
    }

    /** Removes the request's entry. If the request never ran, restores the entry of the previous run. */
    void evict(TrackedRequest request) {
        Entry entry = findEntry(request);
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

    /** Releases the payloads of ended requests whose entries expired more than {@link #MAX_READ_DELAY} ago. */
    void releaseExpired(Duration now) {
        while (!expirations.isEmpty()
                && expirations.peek().expiresAt.plus(MAX_READ_DELAY).compareTo(now) < 0) {
            Entry expired = expirations.poll();
            Entry current = findEntry(expired.request);
            boolean renewed = current != null
                    && current.request == expired.request
                    && !expired.expiresAt.equals(current.expiresAt);
            if (!renewed && expired.request.hasEnded()) {
                releasePayloads(expired.request);
            }
        }
    }

    /** Returns the entry under the request's key, which may belong to another request; null if there is none. */
    private Entry findEntry(TrackedRequest request) {
        return request.duplicateKey() == null
                ? null
                : entriesByKey.get(request.duplicateKey().text());
    }

    private static void releasePayloads(TrackedRequest request) {
        request.releasePayloads();
    }
}
