package merlinlever.dns.server;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.wire.DnsMessage;

/** Checks dynamic updates (RFC 2136), detects duplicate messages, and applies updates to their zones. */
final class UpdateHandler {

    private static final String REPLAY_KEY_DIGEST = "SHA-256";
    private static final int REPLAY_KEY_BYTES = 16;

    private final ZoneCatalog zones;
    private final ImmediateResponder responder;
    private final LongSupplier unixClock;
    private final Map<ByteArrayKey, PendingMessage> pendingByReplayKey = new HashMap<>();

    /** @param unixClock returns Unix seconds */
    UpdateHandler(ZoneCatalog zones, ImmediateResponder responder, LongSupplier unixClock) {
        this.zones = zones;
        this.responder = responder;
        this.unixClock = unixClock;
    }

    /** Returns the update to submit to the controller, or empty if the request was answered. */
    Optional<PendingMessage> prepare(DnsRequest request) {
        DnsMessage message = request.message();
        if (!message.hasQuestion() || message.type() != RecordTypes.SOA) {
            responder.answer(request, DynamicUpdate.FORMERR);
            return Optional.empty();
        }
        ServedZone zone = message.dclass() == RecordTypes.IN ? zones.find(message.name()) : null;
        if (zone == null) {
            responder.answer(request, DynamicUpdate.NOTAUTH);
            return Optional.empty();
        }
        if (request.keyName() == null || !zone.mayUpdate(request.keyName())) {
            responder.answer(request, DynamicUpdate.REFUSED);
            return Optional.empty();
        }
        ByteArrayKey replayKey = new ByteArrayKey(replayKey(message.octets()));
        PendingMessage original = pendingByReplayKey.get(replayKey);
        if (original == null && zone.replays().contains(replayKey.octets())) {
            // The update was applied before, perhaps by a previous run, and its response may have been lost.
            responder.answer(request, DynamicUpdate.NOERROR);
            return Optional.empty();
        }
        PendingMessage pending = PendingMessage.ofUpdate(zone, request, replayKey, original);
        if (original == null) {
            pendingByReplayKey.put(replayKey, pending);
        }
        return Optional.of(pending);
    }

    private static byte[] replayKey(byte[] octets) {
        try {
            byte[] digest = MessageDigest.getInstance(REPLAY_KEY_DIGEST).digest(octets);
            return Arrays.copyOf(digest, REPLAY_KEY_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Applies an update; {@code done} receives the response code, or empty if the disk write failed. */
    void apply(PendingMessage pending, Consumer<OptionalInt> done) {
        DnsMessage message = pending.request().message();
        byte[] replayKey = pending.replayKey().octets();
        pending.zone().update(unixClock.getAsLong(), replayKey, message.answers(), message.authority(), done);
    }

    /** Returns the started message whose outcome the duplicate shares, or null. */
    PendingMessage originalOf(PendingMessage duplicate) {
        PendingMessage original = duplicate.original();
        while (original != null && !original.isStarted() && original.original() != null) {
            original = original.original();
        }
        if (original == null || !original.isStarted()) {
            original = pendingByReplayKey.get(duplicate.replayKey());
        }
        return original == duplicate ? null : original;
    }

    /** Registers the message as the original of later duplicates, until {@link #forget}. */
    void remember(PendingMessage pending) {
        pendingByReplayKey.put(pending.replayKey(), pending);
    }

    /** Unregisters the message as the original of later duplicates. Does nothing for queries and transfers. */
    void forget(PendingMessage pending) {
        if (pending.replayKey() != null) {
            pendingByReplayKey.remove(pending.replayKey(), pending);
        }
    }
}
