package merlinlever.zone.server;

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
import merlinlever.ControllerEvent;
import merlinlever.Outcome;
import merlinlever.RequestAttributes;
import merlinlever.RequestHandle;
import merlinlever.core.ControllerDriver;
import merlinlever.core.DecisionHandler;
import merlinlever.policy.ControllerMetrics;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.record.MalformedDnsException;
import merlinlever.zone.record.RecordTypes;
import merlinlever.zone.state.Difference;
import merlinlever.zone.state.DynamicUpdate;
import merlinlever.zone.state.Lookup;
import merlinlever.zone.state.SerialNumbers;
import merlinlever.zone.state.UpdateEntry;
import merlinlever.zone.state.Zone;
import merlinlever.zone.wire.DnsMessage;
import merlinlever.zone.wire.Tsig;

/**
 * Follows each message from its reading to its one answer. What is taken, begun and turned away the decision module
 * says: a query is retriable, an update fingerprinted, a transfer retriable; an update's way to the disk and a transfer's
 * way to its reader are the calls that they make.
 */
public final class RequestProcessor implements DecisionHandler<PendingMessage> {

    /** What is stated to the module of the front. */
    public record ProcessorSettings(double memoryMb, Duration grace, boolean queriesDecided, long seed) {}

    /** Begun in one go; the module looks again behind each. Calls in hand are four times as many at the most. */
    private static final int IN_ONE_GO = 16;
    /** Seconds on either side of its time in which a signed message can come again. */
    public static final long REPLAY = 2L * Tsig.FUDGE;
    /** What remembering one update takes here, with its repeats. */
    private static final double KB_PER_UPDATE = 0.5;

    private static final int SERVFAIL_FROM_DISK = -1;

    private final Map<ByteArrayKey, ServedZone> zones = new HashMap<>();
    private final Tsig.TsigKeyRing keys;
    private final LongSupplier unix;
    private final ResponseBuilder answers;
    private final ControllerDriver<PendingMessage> conductor;
    private final boolean queriesDecided;
    private final Consumer<String> log;
    private final Consumer<Duration> alarm;
    private final ZoneServerMetrics counts;
    private final Map<Object, PendingMessage> byMark = new HashMap<>();
    private Duration now = Duration.ZERO;
    private boolean touched;
    private int inHand;
    private int sinceSettled;

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
     * @param alarm is told when {@link #alarmed} is wanted
     */
    public RequestProcessor(
            List<ServedZone> served,
            Tsig.TsigKeyRing keys,
            ProcessorSettings stated,
            LongSupplier unix,
            Consumer<String> log,
            Consumer<Duration> alarm,
            ZoneServerMetrics counts) {
        served.forEach(zone -> zones.put(new ByteArrayKey(zone.origin()), zone));
        this.keys = keys;
        this.unix = unix;
        this.log = log;
        this.alarm = alarm;
        this.counts = counts;
        answers = new ResponseBuilder(unix);
        queriesDecided = stated.queriesDecided;
        conductor = new ControllerDriver<>(given(stated), stated.seed, this);
        touched = true;
    }

    private static Map<String, String> given(ProcessorSettings stated) {
        Map<String, String> given = new HashMap<>();
        given.put("server.cores", "" + IN_ONE_GO);
        given.put("server.gauges", "run-queue");
        given.put("server.memory-kb", "" + stated.memoryMb * 1024);
        given.put("server.run-factor", "1");
        given.put("server.kb-per-fingerprint", "" + KB_PER_UPDATE);
        given.put("rules.drain-grace", "" + stated.grace.toMillis());
        // Runs that wait for the disk or a reader take no core: many are no crowd.
        given.put("rules.crowd-factor", "8");
        given.put("rules.longest-unread", "0");
        given.put("limits.stay-away", "true");
        given.put("limits.longest-stay-away", "2000");
        tariff(given, PendingMessage.MessageKind.QUERY, "retriable", 1, 500, 2_000, 0);
        tariff(given, PendingMessage.MessageKind.UPDATE, "fingerprinted", 8, 2_000, 5_000, REPLAY * 1000);
        tariff(given, PendingMessage.MessageKind.TRANSFER, "retriable", 2, 5_000, 60_000, 0);
        return given;
    }

    private static void tariff(
            Map<String, String> given,
            PendingMessage.MessageKind kind,
            String how,
            int value,
            long softMs,
            long timeoutMs,
            long windowMs) {
        String at = "tariffs." + kind.ordinal() + ".";
        given.put(at + "name", kind.wireName().toUpperCase(java.util.Locale.ROOT));
        given.put(at + "kind", how);
        given.put(at + "value", "" + value);
        given.put(at + "soft-limit", "" + softMs);
        given.put(at + "client-timeout", "" + timeoutMs);
        given.put(at + "late-value", "0.2");
        given.put(at + "window", "" + windowMs);
    }

    /** Messages that are read and not yet answered. */
    public int inHand() {
        return inHand;
    }

    /** What the module sees. */
    public ControllerMetrics figures() {
        return conductor.controller().metrics();
    }

    // ---- what happens

    /** A message was read. Returns it where it is in hand from now on, null where it was answered on the spot. */
    PendingMessage came(Duration at, byte[] octets, Duration waited, ReplyChannel caller) {
        now = at;
        if (DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) != 0) {
            // Nothing to answer to, or an answer: two servers would talk to each other for ever.
            counts.dropped();
            return null;
        }
        DnsMessage message;
        Tsig.Verification signed = null;
        try {
            message = DnsMessage.read(octets);
            if (message.signature() != null) {
                signed = Tsig.verify(message, keys, unix.getAsLong(), null);
            }
        } catch (MalformedDnsException e) {
            counts.malformed();
            caller.answer(ResponseBuilder.malformed(octets));
            return null;
        }
        if (signed != null && signed.error() != 0) {
            return told(caller, message, signed, DynamicUpdate.NOTAUTH);
        }
        if (message.edns() != null && message.edns().version() > 0) {
            caller.answer(answers.unknownEdns(message, signed));
            return null;
        }
        return switch (message.operation()) {
            case DnsMessage.QUERY -> query(message, signed, waited, caller);
            case DnsMessage.UPDATE -> update(message, signed, waited, caller);
                // This front has no primary that could have news for it.
            case DnsMessage.NOTIFY -> told(caller, message, signed, DynamicUpdate.REFUSED);
            default -> told(caller, message, signed, DynamicUpdate.NOTIMP);
        };
    }

    private PendingMessage told(ReplyChannel caller, DnsMessage message, Tsig.Verification signed, int code) {
        counts.told(code);
        caller.answer(answers.code(message, signed, code));
        return null;
    }

    private PendingMessage query(DnsMessage message, Tsig.Verification signed, Duration waited, ReplyChannel caller) {
        if (!message.asks() || (message.flags() & DnsMessage.TRUNCATED) != 0) {
            return told(caller, message, signed, DynamicUpdate.FORMERR);
        }
        ServedZone zone = message.dclass() == RecordTypes.IN || message.dclass() == RecordTypes.CLASS_ANY
                ? closest(message.name())
                : null;
        if (message.type() == RecordTypes.AXFR || message.type() == RecordTypes.IXFR) {
            if (zone == null || !Arrays.equals(zone.origin(), message.name())) {
                return told(caller, message, signed, DynamicUpdate.NOTAUTH);
            }
            if (signed == null || !zone.mayTransfer(signed.key().name())) {
                return told(caller, message, signed, DynamicUpdate.REFUSED);
            }
            if ((message.type() == RecordTypes.AXFR && caller.datagram())
                    || (message.type() == RecordTypes.IXFR
                            && (message.authority().size() != 1
                                    || message.authority().get(0).type() != RecordTypes.SOA))) {
                return told(caller, message, signed, DynamicUpdate.FORMERR);
            }
            return take(
                    new PendingMessage(PendingMessage.MessageKind.TRANSFER, zone, message, signed, caller),
                    waited,
                    null);
        }
        if (zone == null) {
            return told(caller, message, signed, DynamicUpdate.REFUSED);
        }
        if (message.type() != RecordTypes.ANY && RecordTypes.meta(message.type())) {
            return told(caller, message, signed, DynamicUpdate.NOTIMP);
        }
        PendingMessage asked = new PendingMessage(PendingMessage.MessageKind.QUERY, zone, message, signed, caller);
        if (!queriesDecided) {
            caller.answer(answers.found(
                    message, signed, Lookup.find(zone.zone(), message.name(), message.type()), caller.datagram()));
            counts.satisfied(PendingMessage.MessageKind.QUERY);
            return null;
        }
        return take(asked, waited, null);
    }

    /** The zone that the name is in, the deepest of them. */
    private ServedZone closest(byte[] name) {
        for (byte[] at = name; ; at = DomainNames.parent(at)) {
            ServedZone zone = zones.get(new ByteArrayKey(at));
            if (zone != null || at.length == 1) {
                return zone;
            }
        }
    }

    private PendingMessage update(DnsMessage message, Tsig.Verification signed, Duration waited, ReplyChannel caller) {
        if (!message.asks() || message.type() != RecordTypes.SOA) {
            return told(caller, message, signed, DynamicUpdate.FORMERR);
        }
        ServedZone zone = message.dclass() == RecordTypes.IN ? zones.get(new ByteArrayKey(message.name())) : null;
        if (zone == null) {
            return told(caller, message, signed, DynamicUpdate.NOTAUTH);
        }
        if (signed == null || !zone.mayUpdate(signed.key().name())) {
            return told(caller, message, signed, DynamicUpdate.REFUSED);
        }
        byte[] mark = mark(message.octets());
        ByteArrayKey key = new ByteArrayKey(mark);
        PendingMessage original = byMark.get(key);
        if (original == null && zone.replays().known(mark)) {
            // Done in an earlier life of this server; its answer may have been lost with that.
            return told(caller, message, signed, DynamicUpdate.NOERROR);
        }
        PendingMessage asked = new PendingMessage(PendingMessage.MessageKind.UPDATE, zone, message, signed, caller);
        asked.mark = key;
        asked.markOctets = mark;
        if (original == null) {
            byMark.put(key, asked);
        }
        return take(asked, waited, original);
    }

    private static byte[] mark(byte[] octets) {
        try {
            return Arrays.copyOf(MessageDigest.getInstance("SHA-256").digest(octets), 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private PendingMessage take(PendingMessage asked, Duration waited, PendingMessage original) {
        if (++sinceSettled > IN_ONE_GO) {
            // A burst that came at once is begun as it is read: what waits for the end of the batch is not waiting.
            settle(now);
        }
        touched = true;
        inHand++;
        counts.taken(asked.kind);
        asked.repeats = original;
        RequestHandle taken = conductor
                .controller()
                .submit(
                        now,
                        RequestAttributes.ofClass(asked.kind.ordinal())
                                .readDelay(waited)
                                .memoryKb(1 + asked.message.octets().length / 1024.0)
                                .original(Optional.ofNullable(original).map(earlier -> earlier.handle))
                                .build());
        asked.handle = conductor.register(taken, asked);
        return asked;
    }

    /** Its connection is over: nobody waits for the answer. */
    void callerGone(Duration at, PendingMessage asked) {
        if (!asked.answered) {
            now = at;
            touched = true;
            over(asked);
            asked.handle.callerGone(at);
            endUncalled(asked);
        }
    }

    /** It stands before its call, which is not made any more: nothing of it was done. */
    private void endUncalled(PendingMessage asked) {
        if (asked.begun && !asked.calling && asked.code == PendingMessage.OPEN) {
            asked.code = DynamicUpdate.SERVFAIL;
            touched = true;
            asked.handle.runEnded(now, Outcome.ERROR);
            asked.sharers.forEach(this::failed);
            asked.sharers = List.of();
        }
    }

    public void alarmed(Duration at) {
        now = at;
        touched = true;
        conductor.wakeUpFired();
        // All that runs, runs to its end or to its call within a batch: nothing waits for a core between them.
        conductor.controller().updateGauges(at, new double[] {0});
    }

    /** The notice to leave. */
    public void leave(Duration at, Duration stop) {
        now = at;
        touched = true;
        conductor.controller().startDrain(at, stop);
    }

    /** After each batch: settles as often as something has happened since. */
    public void settle(Duration at) {
        sinceSettled = 0;
        while (touched) {
            touched = false;
            now = at;
            conductor.decide(at);
        }
    }

    // ---- answers

    private ReplyChannel over(PendingMessage asked) {
        ReplyChannel caller = asked.caller;
        asked.answered = true;
        asked.caller = null;
        inHand--;
        return caller;
    }

    private void answer(PendingMessage asked, int code) {
        if (!asked.answered) {
            DnsMessage message = asked.message;
            Tsig.Verification signed = asked.signed;
            over(asked).answer(answers.code(message, signed, code));
        }
    }

    private void finish(PendingMessage asked, int code) {
        if (asked.code != PendingMessage.OPEN) {
            return;
        }
        touched = true;
        asked.code = code;
        counts.satisfied(asked.kind);
        answer(asked, code);
        letGo(asked);
        asked.handle.runEnded(now, Outcome.OK);
        asked.sharers.forEach(sharer -> finish(sharer, code));
        asked.sharers = List.of();
    }

    /** What the octets of its message were for is over. */
    private static void letGo(PendingMessage asked) {
        asked.message = null;
        asked.signed = null;
    }

    // ---- what the module decides

    @Override
    public void start(PendingMessage asked) {
        asked.begun = true;
        touched = true;
        if (asked.kind == PendingMessage.MessageKind.QUERY) {
            if (!asked.answered) {
                DnsMessage message = asked.message;
                Tsig.Verification signed = asked.signed;
                Lookup.Answer found = Lookup.find(asked.zone.zone(), message.name(), message.type());
                ReplyChannel caller = over(asked);
                caller.answer(answers.found(message, signed, found, caller.datagram()));
                counts.satisfied(asked.kind);
            }
            asked.code = DynamicUpdate.NOERROR;
            letGo(asked);
            asked.handle.runEnded(now, Outcome.OK);
        } else {
            asked.handle.callNeeded(now);
        }
    }

    @Override
    public void callDownstream(PendingMessage asked, Duration giveUpAfter) {
        asked.calling = true;
        Duration calledAt = now;
        if (asked.kind == PendingMessage.MessageKind.TRANSFER) {
            transfer(asked, calledAt);
            return;
        }
        List<UpdateEntry> prerequisites = asked.message.answers();
        List<UpdateEntry> changes = asked.message.authority();
        asked.zone.update(unix.getAsLong(), asked.markOctets, prerequisites, changes, code -> {
            asked.calling = false;
            touched = true;
            if (code == SERVFAIL_FROM_DISK) {
                // Taken back from the journal: it has not run, and was not asked to again.
                asked.code = DynamicUpdate.SERVFAIL;
                asked.handle.callEnded(now, Outcome.REJECTED, now.minus(calledAt));
                asked.handle.runEnded(now, Outcome.ERROR);
                repeatsUnkept(asked);
                asked.sharers.forEach(sharer -> failed(sharer));
                asked.sharers = List.of();
            } else {
                asked.handle.callEnded(now, Outcome.OK, now.minus(calledAt));
                finish(asked, code);
            }
        });
    }

    private void failed(PendingMessage sharer) {
        answer(sharer, DynamicUpdate.SERVFAIL);
        sharer.code = DynamicUpdate.SERVFAIL;
        sharer.handle.runEnded(now, Outcome.ERROR);
    }

    private void transfer(PendingMessage asked, Duration calledAt) {
        if (asked.answered) {
            asked.calling = false;
            touched = true;
            asked.handle.callEnded(now, Outcome.OK, Duration.ZERO);
            asked.handle.runEnded(now, Outcome.OK);
            return;
        }
        DnsMessage message = asked.message;
        Zone zone = asked.zone.zone();
        ZoneTransfer transfer;
        if (message.type() == RecordTypes.IXFR) {
            long theirs = Zone.serial(message.authority().get(0).data());
            List<Difference> since = SerialNumbers.after(zone.serial(), theirs)
                    ? asked.zone.history().since(theirs)
                    : List.of();
            int records = since == null
                    ? Integer.MAX_VALUE
                    : since.stream().mapToInt(Difference::records).sum();
            // A history longer than the zone is no help.
            transfer = records > zone.records() + 2 && !List.of().equals(since)
                    ? ZoneTransfer.whole(message, asked.signed, unix, zone)
                    : ZoneTransfer.since(message, asked.signed, unix, zone, since);
            if (asked.caller.datagram() && records > 0) {
                transfer = ZoneTransfer.since(message, asked.signed, unix, zone, List.of());
            }
        } else {
            transfer = ZoneTransfer.whole(message, asked.signed, unix, zone);
        }
        asked.caller.answer(transfer, well -> {
            asked.calling = false;
            touched = true;
            if (!asked.answered) {
                over(asked);
                counts.satisfied(asked.kind);
            }
            asked.handle.callEnded(now, Outcome.OK, now.minus(calledAt));
            asked.code = DynamicUpdate.NOERROR;
            letGo(asked);
            asked.handle.runEnded(now, Outcome.OK);
        });
    }

    @Override
    public void reject(PendingMessage asked, boolean nowhereElse, Duration stayAway) {
        if (!asked.answered) {
            counts.pushedBack(asked.kind);
            DnsMessage message = asked.message;
            Tsig.Verification signed = asked.signed;
            over(asked).answer(answers.pushedBack(message, signed, stayAway));
        }
        repeatsUnkept(asked);
    }

    @Override
    public void fail(PendingMessage asked) {
        if (!asked.answered) {
            counts.brokenOff(asked.kind);
            if (asked.kind == PendingMessage.MessageKind.TRANSFER && asked.calling) {
                // Part of the answer has left; what shows that no more comes is the end of the connection.
                over(asked).answer((byte[]) null);
            } else {
                answer(asked, DynamicUpdate.SERVFAIL);
            }
        }
        endUncalled(asked);
        repeatsUnkept(asked);
    }

    /** What never ran and was never kept is not to be found by a repeat. */
    private void repeatsUnkept(PendingMessage asked) {
        if (!asked.begun) {
            evict(asked);
            letGo(asked);
        }
    }

    @Override
    public void shareOutcome(PendingMessage asked) {
        PendingMessage original = asked.repeats;
        while (original != null && !original.begun && original.repeats != null) {
            original = original.repeats;
        }
        if (original == null || !original.begun) {
            original = byMark.get(asked.mark);
        }
        if (original == null || original == asked) {
            failed(asked);
            touched = true;
        } else if (original.code == PendingMessage.OPEN) {
            original.sharedBy(asked);
        } else {
            finish(asked, original.code);
        }
    }

    @Override
    public void evict(PendingMessage asked) {
        if (asked.mark != null) {
            byMark.remove(asked.mark, asked);
        }
    }

    @Override
    public void retain(PendingMessage asked, Duration span) {
        // Entered when it came; the module says when it may go.
        byMark.put(asked.mark, asked);
    }

    @Override
    public void release(PendingMessage asked) {
        evict(asked);
    }

    @Override
    public void skipCall(PendingMessage asked) {
        // No tariff here has a value without its call.
    }

    @Override
    public void stop(PendingMessage asked) {
        // Nothing here can be stopped half way.
    }

    @Override
    public void updateBackpressureLevel(double level) {
        // The protocol has no place for it.
    }

    @Override
    public void updateHealth(boolean good) {
        counts.healthy(good);
    }

    @Override
    public void closeIdleConnections(Duration after) {
        // Connections are few and closed by their own time.
    }

    @Override
    public void log(ControllerEvent event) {
        log.accept(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        alarm.accept(at);
    }
}
