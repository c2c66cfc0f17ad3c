package merlinlever.fleet.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Holds messages back until the state that they depend on is on disk. At most one write is in progress at a time. */
final class DurabilityGate {

    /** Further messages are dropped; the protocol tolerates lost messages. */
    private static final int MAX_DEFERRED = 1000;

    private record DeferredMessage(long version, OutgoingMessage message) {}

    private final ArrayDeque<DeferredMessage> deferred = new ArrayDeque<>();
    private long version;
    private long durableVersion;
    /** Version that is being written; equal to {@link #durableVersion} or lower if no write is in progress. */
    private long writingVersion;

    /** Starts a new version of the state. */
    void stateChanged() {
        version++;
    }

    /** Whether the current state is on disk. */
    boolean isDurable() {
        return version == durableVersion;
    }

    /** Returns the version to write now; empty if the current version is on disk or a write is in progress. */
    OptionalLong beginWrite() {
        if (isDurable() || writingVersion > durableVersion) {
            return OptionalLong.empty();
        }
        writingVersion = version;
        return OptionalLong.of(version);
    }

    void writeCompleted(long writtenVersion) {
        durableVersion = Math.max(durableVersion, writtenVersion);
    }

    void writeFailed() {
        writingVersion = durableVersion;
    }

    /** Holds the message back until the current state is on disk. */
    void defer(String receiver, RegisterMessage message) {
        if (deferred.size() < MAX_DEFERRED) {
            deferred.add(new DeferredMessage(version, new OutgoingMessage(receiver, message.encode())));
        }
    }

    /** Returns the messages whose state is on disk, in the order in which they were deferred. */
    List<OutgoingMessage> release() {
        List<OutgoingMessage> released = new ArrayList<>();
        while (!deferred.isEmpty() && deferred.peek().version <= durableVersion) {
            released.add(deferred.poll().message);
        }
        return released;
    }
}
