package merlinlever.dns.server;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.common.log.EventLog;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.Lookup;
import merlinlever.dns.state.SerialNumbers;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;
import merlinlever.policy.ControllerMetrics;

/**
 * Follows each message from its reading to its one answer. What is taken, begun and turned away the decision module
 * says: a query is retriable, an update fingerprinted, a transfer retriable; an update's way to the disk and a transfer's
 * way to its reader are the calls that they make.
 */
public final class RequestProcessor implements DecisionHandler<PendingMessage> {

    /** What is stated to the module of the front. */
    public record ProcessorSettings(double memoryMb, Duration grace, boolean queriesDecided, long seed) {}

    /** For how long a signed message can be replayed: the TSIG fudge on either side of its time (RFC 8945). */
    public static final Duration REPLAY_WINDOW = Duration.ofSeconds(2L * Tsig.FUDGE);

    private static final int SERVFAIL_FROM_DISK = -1;

    private final Map<ByteArrayKey, ServedZone> zones = new HashMap<>();
    private final Tsig.TsigKeyRing keys;
    private final LongSupplier unix;
    private final ResponseBuilder responses;
    private final ControllerDriver<PendingMessage> conductor;
    private final boolean queriesDecided;
    private final EventLog log;
    private final Consumer<Duration> alarm;
    private final ZoneServerMetrics metrics;
    private final Map<Object, PendingMessage> pendingByReplayKey = new HashMap<>();
    private Duration now = Duration.ZERO;
    private boolean isDirty;
    private int inFlight;
    private int requestsSinceDecision;

    /** Octets as a key of a map. */
    private record ByteArrayKey(byte[] octets) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ByteArrayKey name && Arrays.equals(octets, name.octets);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(octets);
        }
    }

    /**
     * @param unix seconds of the Unix clock
     * @param alarm is told when {@link #wakeUp} is wanted
     */
    public RequestProcessor(
            List<ServedZone> served,
            Tsig.TsigKeyRing keys,
            ProcessorSettings stated,
            LongSupplier unix,
            EventLog log,
            Consumer<Duration> alarm,
            ZoneServerMetrics metrics) {
        served.forEach(zone -> zones.put(new ByteArrayKey(zone.origin()), zone));
        this.keys = keys;
        this.unix = unix;
        this.log = log;
        this.alarm = alarm;
        this.metrics = metrics;
        responses = new ResponseBuilder(unix);
        queriesDecided = stated.queriesDecided;
        conductor = new ControllerDriver<>(DnsControllerSettings.of(stated.memoryMb, stated.grace), stated.seed, this);
        isDirty = true;
    }

    /** Messages that are read and not yet answered. */
    public int inFlight() {
        return inFlight;
    }

    /** What the module sees. */
    public ControllerMetrics controllerMetrics() {
        return conductor.controller().metrics();
    }

    // ---- what happens

    /** A message was read. Returns it where it is in hand from now on, null where it was answered on the spot. */
    PendingMessage receive(Duration at, byte[] octets, Duration waited, ReplyChannel replyChannel) {
        now = at;
        if (DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) != 0) {
            // Nothing to answer to, or an answer: two servers would talk to each other for ever.
            metrics.dropped();
            return null;
        }
        DnsMessage message;
        Tsig.Verification verification = null;
        try {
            message = DnsMessage.read(octets);
            if (message.signature() != null) {
                verification = Tsig.verify(message, keys, unix.getAsLong(), null);
            }
        } catch (MalformedDnsException e) {
            metrics.malformed();
            replyChannel.answer(ResponseBuilder.malformed(octets));
            return null;
        }
        if (verification != null && verification.error() != 0) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.NOTAUTH);
        }
        if (message.edns() != null && message.edns().version() > 0) {
            replyChannel.answer(responses.unknownEdns(message, verification));
            return null;
        }
        return switch (message.opcode()) {
            case QUERY -> query(message, verification, waited, replyChannel);
            case UPDATE -> update(message, verification, waited, replyChannel);
                // This front has no primary that could have news for it.
            case NOTIFY -> answerWithCode(replyChannel, message, verification, DynamicUpdate.REFUSED);
            default -> answerWithCode(replyChannel, message, verification, DynamicUpdate.NOTIMP);
        };
    }

    private PendingMessage answerWithCode(
            ReplyChannel replyChannel, DnsMessage message, Tsig.Verification verification, int code) {
        metrics.answeredWithCode(code);
        replyChannel.answer(responses.withCode(message, verification, code));
        return null;
    }

    private PendingMessage query(
            DnsMessage message, Tsig.Verification verification, Duration waited, ReplyChannel replyChannel) {
        if (!message.hasQuestion() || (message.flags() & DnsMessage.TRUNCATED) != 0) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.FORMERR);
        }
        ServedZone zone = message.dclass() == RecordTypes.IN || message.dclass() == RecordTypes.CLASS_ANY
                ? closestZone(message.name())
                : null;
        if (message.type() == RecordTypes.AXFR || message.type() == RecordTypes.IXFR) {
            if (zone == null || !Arrays.equals(zone.origin(), message.name())) {
                return answerWithCode(replyChannel, message, verification, DynamicUpdate.NOTAUTH);
            }
            if (verification == null || !zone.mayTransfer(verification.key().name())) {
                return answerWithCode(replyChannel, message, verification, DynamicUpdate.REFUSED);
            }
            if ((message.type() == RecordTypes.AXFR && replyChannel.isDatagram())
                    || (message.type() == RecordTypes.IXFR
                            && (message.authority().size() != 1
                                    || message.authority().get(0).type() != RecordTypes.SOA))) {
                return answerWithCode(replyChannel, message, verification, DynamicUpdate.FORMERR);
            }
            return admit(
                    new PendingMessage(PendingMessage.MessageKind.TRANSFER, zone, message, verification, replyChannel),
                    waited,
                    null);
        }
        if (zone == null) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.REFUSED);
        }
        if (message.type() != RecordTypes.ANY && RecordTypes.isMeta(message.type())) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.NOTIMP);
        }
        PendingMessage pending =
                new PendingMessage(PendingMessage.MessageKind.QUERY, zone, message, verification, replyChannel);
        if (!queriesDecided) {
            replyChannel.answer(responses.answer(
                    message,
                    verification,
                    Lookup.find(zone.zone(), message.name(), message.type()),
                    replyChannel.isDatagram()));
            metrics.served(PendingMessage.MessageKind.QUERY);
            return null;
        }
        return admit(pending, waited, null);
    }

    /** The zone that the name is in, the deepest of them. */
    private ServedZone closestZone(byte[] name) {
        for (byte[] at = name; ; at = DomainNames.parent(at)) {
            ServedZone zone = zones.get(new ByteArrayKey(at));
            if (zone != null || at.length == 1) {
                return zone;
            }
        }
    }

    private PendingMessage update(
            DnsMessage message, Tsig.Verification verification, Duration waited, ReplyChannel replyChannel) {
        if (!message.hasQuestion() || message.type() != RecordTypes.SOA) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.FORMERR);
        }
        ServedZone zone = message.dclass() == RecordTypes.IN ? zones.get(new ByteArrayKey(message.name())) : null;
        if (zone == null) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.NOTAUTH);
        }
        if (verification == null || !zone.mayUpdate(verification.key().name())) {
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.REFUSED);
        }
        byte[] mark = replayKey(message.octets());
        ByteArrayKey key = new ByteArrayKey(mark);
        PendingMessage original = pendingByReplayKey.get(key);
        if (original == null && zone.replays().contains(mark)) {
            // Done in an earlier life of this server; its answer may have been lost with that.
            return answerWithCode(replyChannel, message, verification, DynamicUpdate.NOERROR);
        }
        PendingMessage pending =
                new PendingMessage(PendingMessage.MessageKind.UPDATE, zone, message, verification, replyChannel);
        pending.replayKey = key;
        pending.replayKeyBytes = mark;
        if (original == null) {
            pendingByReplayKey.put(key, pending);
        }
        return admit(pending, waited, original);
    }

    private static byte[] replayKey(byte[] octets) {
        try {
            return Arrays.copyOf(MessageDigest.getInstance("SHA-256").digest(octets), 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private PendingMessage admit(PendingMessage pending, Duration waited, PendingMessage original) {
        if (++requestsSinceDecision > DnsControllerSettings.MAX_STARTS_PER_TURN) {
            // A burst that came at once is begun as it is read: what waits for the end of the batch is not waiting.
            decide(now);
        }
        isDirty = true;
        inFlight++;
        metrics.accepted(pending.kind);
        pending.original = original;
        RequestHandle taken = conductor
                .controller()
                .submit(
                        now,
                        RequestAttributes.ofClass(pending.kind.ordinal())
                                .readDelay(waited)
                                .memoryKb(1 + pending.message.octets().length / 1024.0)
                                .original(Optional.ofNullable(original).map(earlier -> earlier.handle))
                                .build());
        pending.handle = conductor.register(taken, pending);
        return pending;
    }

    /** Its connection is over: nobody waits for the answer. */
    void clientDisconnected(Duration at, PendingMessage pending) {
        if (!pending.isAnswered) {
            now = at;
            isDirty = true;
            markAnswered(pending);
            pending.handle.callerGone(at);
            abortUncalled(pending);
        }
    }

    /** It stands before its call, which is not made any more: nothing of it was done. */
    private void abortUncalled(PendingMessage pending) {
        if (pending.isStarted && !pending.isCalling && pending.code == PendingMessage.NO_CODE) {
            pending.code = DynamicUpdate.SERVFAIL;
            isDirty = true;
            pending.handle.runEnded(now, Outcome.ERROR);
            pending.duplicates.forEach(this::failDuplicate);
            pending.duplicates = List.of();
        }
    }

    public void wakeUp(Duration at) {
        now = at;
        isDirty = true;
        conductor.wakeUpFired();
        // All that runs, runs to its end or to its call within a batch: nothing waits for a core between them.
        conductor.controller().updateGauges(at, new double[] {0});
    }

    /** The notice to leave. */
    public void startDrain(Duration at, Duration stop) {
        now = at;
        isDirty = true;
        conductor.controller().startDrain(at, stop);
    }

    /** After each batch: settles as often as something has happened since. */
    public void decide(Duration at) {
        requestsSinceDecision = 0;
        while (isDirty) {
            isDirty = false;
            now = at;
            conductor.decide(at);
        }
    }

    // ---- answers

    private ReplyChannel markAnswered(PendingMessage pending) {
        ReplyChannel replyChannel = pending.replyChannel;
        pending.isAnswered = true;
        pending.replyChannel = null;
        inFlight--;
        return replyChannel;
    }

    private void answer(PendingMessage pending, int code) {
        if (!pending.isAnswered) {
            DnsMessage message = pending.message;
            Tsig.Verification verification = pending.verification;
            markAnswered(pending).answer(responses.withCode(message, verification, code));
        }
    }

    private void complete(PendingMessage pending, int code) {
        if (pending.code != PendingMessage.NO_CODE) {
            return;
        }
        isDirty = true;
        pending.code = code;
        metrics.served(pending.kind);
        answer(pending, code);
        releaseMessage(pending);
        pending.handle.runEnded(now, Outcome.OK);
        pending.duplicates.forEach(sharer -> complete(sharer, code));
        pending.duplicates = List.of();
    }

    /** What the octets of its message were for is over. */
    private static void releaseMessage(PendingMessage pending) {
        pending.message = null;
        pending.verification = null;
    }

    // ---- what the module decides

    @Override
    public void start(PendingMessage pending) {
        pending.isStarted = true;
        isDirty = true;
        if (pending.kind == PendingMessage.MessageKind.QUERY) {
            if (!pending.isAnswered) {
                DnsMessage message = pending.message;
                Tsig.Verification verification = pending.verification;
                Lookup.Answer found = Lookup.find(pending.zone.zone(), message.name(), message.type());
                ReplyChannel replyChannel = markAnswered(pending);
                replyChannel.answer(responses.answer(message, verification, found, replyChannel.isDatagram()));
                metrics.served(pending.kind);
            }
            pending.code = DynamicUpdate.NOERROR;
            releaseMessage(pending);
            pending.handle.runEnded(now, Outcome.OK);
        } else {
            pending.handle.callNeeded(now);
        }
    }

    @Override
    public void callDownstream(PendingMessage pending, Duration giveUpAfter) {
        pending.isCalling = true;
        Duration calledAt = now;
        if (pending.kind == PendingMessage.MessageKind.TRANSFER) {
            transfer(pending, calledAt);
            return;
        }
        List<UpdateEntry> prerequisites = pending.message.answers();
        List<UpdateEntry> changes = pending.message.authority();
        pending.zone.update(unix.getAsLong(), pending.replayKeyBytes, prerequisites, changes, code -> {
            pending.isCalling = false;
            isDirty = true;
            if (code == SERVFAIL_FROM_DISK) {
                // Taken back from the journal: it has not run, and was not asked to again.
                pending.code = DynamicUpdate.SERVFAIL;
                pending.handle.callEnded(now, Outcome.REJECTED, now.minus(calledAt));
                pending.handle.runEnded(now, Outcome.ERROR);
                forgetIfNotStarted(pending);
                pending.duplicates.forEach(sharer -> failDuplicate(sharer));
                pending.duplicates = List.of();
            } else {
                pending.handle.callEnded(now, Outcome.OK, now.minus(calledAt));
                complete(pending, code);
            }
        });
    }

    private void failDuplicate(PendingMessage sharer) {
        answer(sharer, DynamicUpdate.SERVFAIL);
        sharer.code = DynamicUpdate.SERVFAIL;
        sharer.handle.runEnded(now, Outcome.ERROR);
    }

    private void transfer(PendingMessage pending, Duration calledAt) {
        if (pending.isAnswered) {
            pending.isCalling = false;
            isDirty = true;
            pending.handle.callEnded(now, Outcome.OK, Duration.ZERO);
            pending.handle.runEnded(now, Outcome.OK);
            return;
        }
        DnsMessage message = pending.message;
        Zone zone = pending.zone.zone();
        ZoneTransfer transfer;
        if (message.type() == RecordTypes.IXFR) {
            long theirs = Zone.serial(message.authority().get(0).data());
            List<Difference> since = SerialNumbers.after(zone.serial(), theirs)
                    ? pending.zone.history().since(theirs)
                    : List.of();
            int records = since == null
                    ? Integer.MAX_VALUE
                    : since.stream().mapToInt(Difference::records).sum();
            // A history longer than the zone is no help.
            transfer = records > zone.records() + 2 && !List.of().equals(since)
                    ? ZoneTransfer.full(message, pending.verification, unix, zone)
                    : ZoneTransfer.incremental(message, pending.verification, unix, zone, since);
            if (pending.replyChannel.isDatagram() && records > 0) {
                transfer = ZoneTransfer.incremental(message, pending.verification, unix, zone, List.of());
            }
        } else {
            transfer = ZoneTransfer.full(message, pending.verification, unix, zone);
        }
        pending.replyChannel.answer(transfer, well -> {
            pending.isCalling = false;
            isDirty = true;
            if (!pending.isAnswered) {
                markAnswered(pending);
                metrics.served(pending.kind);
            }
            pending.handle.callEnded(now, Outcome.OK, now.minus(calledAt));
            pending.code = DynamicUpdate.NOERROR;
            releaseMessage(pending);
            pending.handle.runEnded(now, Outcome.OK);
        });
    }

    @Override
    public void reject(PendingMessage pending, boolean nowhereElse, Duration stayAway) {
        if (!pending.isAnswered) {
            metrics.rejected(pending.kind);
            DnsMessage message = pending.message;
            Tsig.Verification verification = pending.verification;
            markAnswered(pending).answer(responses.rejection(message, verification, stayAway));
        }
        forgetIfNotStarted(pending);
    }

    @Override
    public void fail(PendingMessage pending) {
        if (!pending.isAnswered) {
            metrics.failed(pending.kind);
            if (pending.kind == PendingMessage.MessageKind.TRANSFER && pending.isCalling) {
                // Part of the answer has left; what shows that no more comes is the end of the connection.
                markAnswered(pending).answer((byte[]) null);
            } else {
                answer(pending, DynamicUpdate.SERVFAIL);
            }
        }
        abortUncalled(pending);
        forgetIfNotStarted(pending);
    }

    /** What never ran and was never kept is not to be found by a repeat. */
    private void forgetIfNotStarted(PendingMessage pending) {
        if (!pending.isStarted) {
            evict(pending);
            releaseMessage(pending);
        }
    }

    @Override
    public void shareOutcome(PendingMessage pending) {
        PendingMessage original = pending.original;
        while (original != null && !original.isStarted && original.original != null) {
            original = original.original;
        }
        if (original == null || !original.isStarted) {
            original = pendingByReplayKey.get(pending.replayKey);
        }
        if (original == null || original == pending) {
            failDuplicate(pending);
            isDirty = true;
        } else if (original.code == PendingMessage.NO_CODE) {
            original.addDuplicate(pending);
        } else {
            complete(pending, original.code);
        }
    }

    @Override
    public void evict(PendingMessage pending) {
        if (pending.replayKey != null) {
            pendingByReplayKey.remove(pending.replayKey, pending);
        }
    }

    @Override
    public void retain(PendingMessage pending, Duration span) {
        // Entered when it came; the module says when it may go.
        pendingByReplayKey.put(pending.replayKey, pending);
    }

    @Override
    public void release(PendingMessage pending) {
        evict(pending);
    }

    @Override
    public void updateHealth(boolean good) {
        metrics.healthy(good);
    }

    @Override
    public void log(ControllerEvent event) {
        log.line(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        alarm.accept(at);
    }
}
