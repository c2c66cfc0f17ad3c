package merlinlever.fleet.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Holds messages back until the state that they are based on is on the disk; one write at a time. */
final class DurabilityGate {

    /** Messages over this number are lost, as any message may be. */
    private static final int MAX_DEFERRED = 1000;

    private record DeferredMessage(long version, OutgoingMessage message) {}

    private final ArrayDeque<DeferredMessage> deferred = new ArrayDeque<>();
    private long version;
    private long durableVersion;
    /** The version being written, if it is higher than the durable one. */
    private long writingVersion;

    /** The state has changed. */
    void stateChanged() {
        version++;
    }

    /** Whether the present state is on the disk. */
    boolean isDurable() {
        return version == durableVersion;
    }

    /** The version to be written now; nothing if the present one is on the disk or a write is in progress. */
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

    /** Sends the message once the present state is on the disk. */
    void defer(String receiver, RegisterMessage message) {
        if (deferred.size() < MAX_DEFERRED) {
            deferred.add(new DeferredMessage(version, new OutgoingMessage(receiver, message.encode())));
        }
    }

    /** The messages whose state is on the disk, in order. */
    List<OutgoingMessage> release() {
        List<OutgoingMessage> released = new ArrayList<>();
        while (!deferred.isEmpty() && deferred.peek().version <= durableVersion) {
            released.add(deferred.poll().message);
        }
        return released;
    }
}
