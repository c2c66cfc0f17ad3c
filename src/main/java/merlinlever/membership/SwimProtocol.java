package merlinlever.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.WireNamed;

/** Decides whom to ask when, whom to suspect, and which rumours go along. */
public final class SwimProtocol {

    /** The kinds of messages; only asking ones are answered. */
    public enum MessageKind implements WireNamed {
        PING("ping"),
        ACK("ack"),
        PING_REQUEST("ask_for"),
        NACK("nack"),
        SYNC("sync"),
        SYNC_REPLY("sync_back"),
        RECOVERY_QUERY("recall"),
        RECOVERY_REPLY("recalled"),
        TEXT("say"),
        PAYLOAD("carry");

        private final String wireName;

        MessageKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * One message.
     *
     * @param correlationId of the question; an answer bears that of its question
     * @param text the gossip address that {@code ASK_FOR} is about, what {@code RECALLED} tells or {@code SAY} says, else empty
     * @param payload what {@code CARRY} carries, else null
     */
    public record MembershipMessage(
            MessageKind kind,
            String sender,
            long correlationId,
            String text,
            List<MemberTable.MemberRecord> records,
            byte[] payload) {
        public MembershipMessage(
                MessageKind kind, String sender, long correlationId, String text, List<MemberTable.MemberRecord> records) {
            this(kind, sender, correlationId, text, records, null);
        }
    }

    /** What one that comes back asks the others, and what they tell it beside all that they believe. */
    public interface RecoveryExchange {
        /** What this one tells: printable, without spaces, 64 octets at the most. */
        String recoveryReport();

        /** The other has told that, to the question of that number. */
        void onRecoveryReply(String name, long number, String what);
    }

    /** Hears what others say to this one, beside membership; it takes what it understands. */
    public interface TextMessageHandler {
        void onText(String name, long number, String what);
    }

    /** Takes what others carry to this one, beside membership. */
    public interface PayloadHandler {
        void onPayload(String name, byte[] body);
    }

    /** A message and where it goes. */
    public record OutboundDatagram(String address, MembershipMessage message) {}

    /**
     * What is stated.
     *
     * @param probePeriod in which one other is asked
     * @param pingTimeout after which others are asked to ask it
     * @param indirectPings so many of them
     * @param seeds gossip addresses that are tried until somebody is known
     */
    public record SwimSettings(Duration probePeriod, Duration pingTimeout, int indirectPings, List<String> seeds) {
        public static SwimSettings defaults(List<String> seeds) {
            return new SwimSettings(Duration.ofSeconds(1), Duration.ofMillis(300), 3, seeds);
        }
    }

    /** Members known, and octets carried in one message, at the most. */
    public static final int MAX_MEMBERS = 2000;

    public static final int MAX_PAYLOAD_BYTES = 48 << 10;
    private static final int MAX_HEALTH_SCORE = 8;
    /** A whole exchange with one other, a dead one too: so two halves of a network find each other again. */
    private static final int PERIODS_PER_SYNC = 10;

    private static final Duration DEAD_MEMBER_RETENTION = Duration.ofHours(24);

    /** A question that waits for its answer. */
    private static final class PendingPing {
        final String target;
        final Duration expiresAt;
        Duration indirectPingAt;
        int outstandingNacks;

        PendingPing(String target, Duration indirectPingAt, Duration expiresAt) {
            this.target = target;
            this.indirectPingAt = indirectPingAt;
            this.expiresAt = expiresAt;
        }
    }

    /** A question that was put for somebody else. */
    private record RelayedPing(String requester, long correlationId, Duration nackAt, Duration expiresAt) {}

    private final SwimSettings settings;
    private final MemberTable memberTable;
    private final SplittableRandom random;
    private final Consumer<String> log;
    private final GossipQueue gossipQueue;
    private final Map<Long, PendingPing> pendingPings = new LinkedHashMap<>();
    private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
    private final SuspicionTimers suspicionTimers = new SuspicionTimers();
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();
    private List<OutboundDatagram> outbox = new ArrayList<>();
    private Duration nextPeriodAt;
    private RecoveryExchange recoveryExchange;
    private final MessageDispatcher dispatcher = new MessageDispatcher();
    private long lastCorrelationId;
    private long periodCount;
    private int healthScore;

    public SwimProtocol(
            Duration now, MemberTable memberTable, SwimSettings settings, SplittableRandom random, Consumer<String> log) {
        this.memberTable = memberTable;
        gossipQueue = new GossipQueue(memberTable);
        this.settings = settings;
        this.random = random;
        this.log = log;
        nextPeriodAt = now;
        lastCorrelationId = random.nextLong() >>> 16;
        announce(now, memberTable.find(memberTable.self()));
    }

    public MemberTable memberTable() {
        return memberTable;
    }

    /** From here on questions of those that come back are answered, and answers to this one's own are heard. */
    public void setRecoveryExchange(RecoveryExchange with) {
        recoveryExchange = with;
    }

    /** From here on it hears what others say to this one, where that begins with one of these words and a slash. */
    public void addTextHandler(Set<String> words, TextMessageHandler who) {
        dispatcher.addTextHandler(words, who);
    }

    /** From here on it takes what others carry to this one; each takes what it understands. */
    public void addPayloadHandler(PayloadHandler who) {
        dispatcher.addPayloadHandler(who);
    }

    /** Carries octets to another, {@link #MAX_PAYLOAD_BYTES} at the most; lost where it is not known. */
    public void sendPayload(String name, byte[] body) {
        if (body.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(body.length + " octets to carry");
        }
        MemberTable.MemberRecord known = memberTable.find(name);
        if (known != null) {
            outbox.add(new OutboundDatagram(
                    known.gossipAddress(), new MembershipMessage(MessageKind.PAYLOAD, memberTable.self(), 0, "", List.of(), body)));
        }
    }

    /** Says something to another, 120 printable octets without spaces at the most; lost where it is not known. */
    public void sendText(String name, long number, String what) {
        MemberTable.MemberRecord known = memberTable.find(name);
        if (known != null) {
            enqueue(known.gossipAddress(), MessageKind.TEXT, number, what);
        }
    }

    /** Asks another what it knows. */
    public void sendRecoveryQuery(String name, long number) {
        enqueue(memberTable.find(name).gossipAddress(), MessageKind.RECOVERY_QUERY, number, "");
    }

    /** 0 where this one is well; more where its own lateness made it slow to hear (Lifeguard section IV-A). */
    public int healthScore() {
        return healthScore;
    }

    /** How long ago what is believed of the agent last changed. */
    public Duration timeSinceChange(Duration now, String name) {
        return gossipQueue.timeSinceChange(now, name);
    }

    private int peerCount() {
        return memberTable.size() - 1;
    }

    // ---- rumours

    private void announce(Duration now, MemberTable.MemberRecord rumour) {
        if (rumour == null) {
            return;
        }
        gossipQueue.enqueue(now, rumour.name());
        if (rumour.status() == MemberTable.MemberStatus.SUSPECT) {
            suspicionTimers.start(now, rumour.name());
        } else {
            suspicionTimers.cancel(rumour.name());
        }
        if (!rumour.name().equals(memberTable.self())) {
            log.accept("agent " + rumour.name() + " is " + rumour.status().wireName() + ", incarnation "
                    + rumour.incarnation());
        } else if (rumour.status() == MemberTable.MemberStatus.ALIVE && rumour.incarnation() > 0) {
            adjustHealth(1);
        }
    }

    private void enqueue(String to, MessageKind kind, long number, String about) {
        List<MemberTable.MemberRecord> with =
                kind == MessageKind.SYNC || kind == MessageKind.SYNC_REPLY || kind == MessageKind.RECOVERY_REPLY
                        ? memberTable.all()
                        : gossipQueue.nextBatch();
        outbox.add(new OutboundDatagram(to, new MembershipMessage(kind, memberTable.self(), number, about, with)));
    }

    private void adjustHealth(int by) {
        healthScore = Math.max(0, Math.min(MAX_HEALTH_SCORE, healthScore + by));
    }

    // ---- what happens

    public void receive(Duration now, String fromAddress, MembershipMessage message) {
        for (MemberTable.MemberRecord rumour : message.records) {
            if (memberTable.find(rumour.name()) == null && memberTable.size() >= MAX_MEMBERS) {
                continue;
            }
            if (rumour.status() == MemberTable.MemberStatus.SUSPECT) {
                suspicionTimers.confirm(rumour.name(), message.sender);
            }
            announce(now, memberTable.merge(rumour));
        }
        switch (message.kind) {
            case PING -> enqueue(fromAddress, MessageKind.ACK, message.correlationId, "");
            case PING_REQUEST -> {
                long number = ++lastCorrelationId;
                relayedPings.put(
                        number,
                        new RelayedPing(
                                fromAddress,
                                message.correlationId,
                                now.plus(settings.pingTimeout.multipliedBy(4).dividedBy(5)),
                                now.plus(settings.probePeriod)));
                enqueue(message.text, MessageKind.PING, number, "");
            }
            case ACK -> {
                PendingPing one = pendingPings.remove(message.correlationId);
                if (one != null) {
                    adjustHealth(-1);
                }
                RelayedPing other = relayedPings.remove(message.correlationId);
                if (other != null) {
                    enqueue(other.requester, MessageKind.ACK, other.correlationId, "");
                }
            }
            case NACK -> {
                PendingPing one = pendingPings.get(message.correlationId);
                if (one != null && one.outstandingNacks > 0) {
                    one.outstandingNacks--;
                }
            }
            case SYNC -> enqueue(fromAddress, MessageKind.SYNC_REPLY, message.correlationId, "");
            case RECOVERY_QUERY -> {
                if (recoveryExchange != null) {
                    enqueue(fromAddress, MessageKind.RECOVERY_REPLY, message.correlationId, recoveryExchange.recoveryReport());
                }
            }
            case RECOVERY_REPLY -> {
                if (recoveryExchange != null) {
                    recoveryExchange.onRecoveryReply(message.sender, message.correlationId, message.text);
                }
            }
            case TEXT, PAYLOAD -> dispatcher.dispatch(message);
            default -> {}
        }
    }

    /** This one leaves in good order; what {@link #tick} then returns is to be sent still. */
    public void leave(Duration now) {
        announce(now, memberTable.markSelfLeft());
        List<MemberTable.MemberRecord> alive = shuffledLivePeers();
        for (int i = 0; i < Math.min(settings.indirectPings + 2, alive.size()); i++) {
            enqueue(alive.get(i).gossipAddress(), MessageKind.PING, ++lastCorrelationId, "");
        }
    }

    private List<MemberTable.MemberRecord> shuffledLivePeers() {
        List<MemberTable.MemberRecord> alive = new ArrayList<>();
        for (MemberTable.MemberRecord each : memberTable.all()) {
            if (!each.name().equals(memberTable.self())
                    && (each.status() == MemberTable.MemberStatus.ALIVE
                            || each.status() == MemberTable.MemberStatus.SUSPECT)) {
                alive.add(each);
            }
        }
        shuffle(alive);
        return alive;
    }

    private <T> void shuffle(List<T> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    // ---- what is decided

    /** What is to be sent now. */
    public List<OutboundDatagram> tick(Duration now) {
        if (now.compareTo(nextPeriodAt) >= 0) {
            // A period that was slept through is not made up for.
            nextPeriodAt = now.plus(settings.probePeriod.multipliedBy(1 + healthScore));
            startPeriod(now);
        }
        for (Map.Entry<Long, PendingPing> entry : List.copyOf(pendingPings.entrySet())) {
            PendingPing one = entry.getValue();
            if (one.indirectPingAt != null && now.compareTo(one.indirectPingAt) >= 0) {
                one.indirectPingAt = null;
                sendIndirectPings(entry.getKey(), one);
            }
            if (now.compareTo(one.expiresAt) >= 0) {
                pendingPings.remove(entry.getKey());
                adjustHealth(1 + (one.outstandingNacks > 0 ? 1 : 0));
                suspect(now, one.target);
            }
        }
        for (Map.Entry<Long, RelayedPing> entry : List.copyOf(relayedPings.entrySet())) {
            RelayedPing one = entry.getValue();
            if (one.nackAt != null && now.compareTo(one.nackAt) >= 0) {
                enqueue(one.requester, MessageKind.NACK, one.correlationId, "");
                relayedPings.put(entry.getKey(), new RelayedPing(one.requester, one.correlationId, null, one.expiresAt));
            }
            if (now.compareTo(one.expiresAt) >= 0) {
                relayedPings.remove(entry.getKey());
            }
        }
        for (String name : suspicionTimers.expired(now, peerCount(), settings.probePeriod)) {
            announce(now, memberTable.markDead(name));
            suspicionTimers.cancel(name);
        }
        List<OutboundDatagram> sendings = outbox;
        outbox = new ArrayList<>();
        return sendings;
    }

    private void suspect(Duration now, String name) {
        MemberTable.MemberRecord rumour = memberTable.markSuspect(name);
        announce(now, rumour);
    }

    private void sendIndirectPings(long number, PendingPing one) {
        MemberTable.MemberRecord target = memberTable.find(one.target);
        int helpers = 0;
        for (MemberTable.MemberRecord helper : shuffledLivePeers()) {
            if (helpers < settings.indirectPings && !helper.name().equals(one.target) && target != null) {
                helpers++;
                enqueue(helper.gossipAddress(), MessageKind.PING_REQUEST, number, target.gossipAddress());
            }
        }
        one.outstandingNacks = helpers;
    }

    private void startPeriod(Duration now) {
        periodCount++;
        if (peerCount() == 0 || periodCount % PERIODS_PER_SYNC == 0) {
            sendSync();
        }
        for (MemberTable.MemberRecord each : memberTable.all()) {
            boolean gone =
                    each.status() == MemberTable.MemberStatus.DEAD || each.status() == MemberTable.MemberStatus.LEFT;
            if (gone
                    && !each.name().equals(memberTable.self())
                    && timeSinceChange(now, each.name()).compareTo(DEAD_MEMBER_RETENTION) > 0) {
                memberTable.remove(each.name());
                gossipQueue.remove(each.name());
            }
        }
        String next = nextProbeTarget();
        if (next != null) {
            long number = ++lastCorrelationId;
            Duration timeout = settings.pingTimeout.multipliedBy(1 + healthScore);
            pendingPings.put(
                    number, new PendingPing(next, now.plus(timeout), now.plus(settings.probePeriod.multipliedBy(1 + healthScore))));
            enqueue(memberTable.find(next).gossipAddress(), MessageKind.PING, number, "");
        }
    }

    /** All in turn, in an order that is drawn anew each round (SWIM section 4.3). */
    private String nextProbeTarget() {
        for (int tries = 0; tries < 2; tries++) {
            while (!probeOrder.isEmpty()) {
                String name = probeOrder.poll();
                MemberTable.MemberRecord known = memberTable.find(name);
                if (known != null
                        && (known.status() == MemberTable.MemberStatus.ALIVE
                                || known.status() == MemberTable.MemberStatus.SUSPECT)) {
                    return name;
                }
            }
            shuffledLivePeers().forEach(each -> probeOrder.add(each.name()));
        }
        return null;
    }

    private void sendSync() {
        List<String> to = new ArrayList<>();
        for (MemberTable.MemberRecord each : memberTable.all()) {
            // The dead too: it may be this side that was cut off.
            if (!each.name().equals(memberTable.self()) && each.status() != MemberTable.MemberStatus.LEFT) {
                to.add(each.gossipAddress());
            }
        }
        if (to.isEmpty()) {
            settings.seeds.stream()
                    .filter(seed -> !seed.equals(memberTable.find(memberTable.self()).gossipAddress()))
                    .forEach(to::add);
            for (String seed : to) {
                enqueue(seed, MessageKind.SYNC, ++lastCorrelationId, "");
            }
            return;
        }
        enqueue(to.get(random.nextInt(to.size())), MessageKind.SYNC, ++lastCorrelationId, "");
    }
}
