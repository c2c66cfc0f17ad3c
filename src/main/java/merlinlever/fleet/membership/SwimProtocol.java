package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;

/**
 * Decides whom to ping when, whom to suspect, and which records travel along (SWIM with Lifeguard's local health). It does no
 * input or output and has no clock; times are since the process began. Not thread-safe.
 */
public final class SwimProtocol {

    /** Upper bound of the members known; further ones are ignored. */
    public static final int MAX_MEMBERS = 2000;

    /** Upper bound of the payload of one message. */
    public static final int MAX_PAYLOAD_BYTES = 48 << 10;

    private static final int MAX_HEALTH_SCORE = 8;
    /** All records are exchanged with one peer each so many periods, a dead one too: so two halves of a network meet again. */
    private static final int PERIODS_PER_SYNC = 10;

    private static final Duration DEAD_MEMBER_RETENTION = Duration.ofHours(24);
    /** Peers that are pinged on leaving, beside those of an indirect ping, so that one of them passes the news on. */
    private static final int EXTRA_FAREWELLS = 2;

    /** A ping that waits for its answer. */
    private static final class PendingPing {
        private final String target;
        private final Duration expiresAt;
        /** When peers are asked to ping the target too; null once they were. */
        private Duration indirectPingAt;

        private int outstandingNacks;

        PendingPing(String target, Duration indirectPingAt, Duration expiresAt) {
            this.target = target;
            this.indirectPingAt = indirectPingAt;
            this.expiresAt = expiresAt;
        }
    }

    private final SwimSettings settings;
    private final MemberTable memberTable;
    private final SplittableRandom random;
    private final EventLog log;
    private final GossipQueue gossipQueue;
    private final Map<Long, PendingPing> pendingPings = new LinkedHashMap<>();
    private final RelayedPings relayedPings;
    private final SuspicionTimers suspicionTimers = new SuspicionTimers();
    private final ProbeSchedule probeSchedule;
    private final MessageDispatcher dispatcher = new MessageDispatcher();
    private List<OutboundDatagram> outbox = new ArrayList<>();
    private Duration nextPeriodAt;
    /** Empty where this member neither asks nor answers recovery queries. */
    private Optional<RecoveryExchange> recoveryExchange = Optional.empty();

    private long lastCorrelationId;
    private long periodCount;
    private int healthScore;

    /**
     * A member that knows nothing but its own table yet.
     *
     * @param log takes one line whenever the status of a peer changes
     */
    public SwimProtocol(
            Duration now, MemberTable memberTable, SwimSettings settings, SplittableRandom random, EventLog log) {
        this.memberTable = memberTable;
        this.settings = settings;
        this.random = random;
        this.log = log;
        gossipQueue = new GossipQueue(memberTable);
        relayedPings = new RelayedPings(settings);
        probeSchedule = new ProbeSchedule(memberTable, random);
        nextPeriodAt = now;
        lastCorrelationId = random.nextLong() >>> 16;
        announce(now, memberTable.ownRecord());
    }

    /** What this member believes of all. */
    public MemberTable memberTable() {
        return memberTable;
    }

    /** From here on recovery queries of peers are answered, and answers to this member's own are handed on. */
    public void setRecoveryExchange(RecoveryExchange exchange) {
        recoveryExchange = Optional.of(exchange);
    }

    /**
     * From here on texts of these types go to the handler.
     *
     * @throws IllegalStateException if one of the types has a handler already
     */
    public void addTextHandler(Set<String> messageTypes, TextMessageHandler handler) {
        dispatcher.addTextHandler(messageTypes, handler);
    }

    /** From here on payloads go to this handler too. */
    public void addPayloadHandler(PayloadHandler handler) {
        dispatcher.addPayloadHandler(handler);
    }

    // ---- messages of other protocols

    /** Sends a message with the next datagrams; it is lost where the recipient is not known. */
    public void send(PeerMessage message) {
        if (message instanceof PeerMessage.Text text) {
            sendText(text.recipient(), text.correlationId(), text.text());
        } else if (message instanceof PeerMessage.Payload payload) {
            sendPayload(payload.recipient(), payload.content());
        }
    }

    /**
     * Sends bytes to a peer; they are lost where it is not known.
     *
     * @throws IllegalArgumentException if they are over {@link #MAX_PAYLOAD_BYTES}
     */
    public void sendPayload(String recipient, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("a payload of " + payload.length + " bytes");
        }
        memberTable.find(recipient).ifPresent(known -> {
            MembershipMessage message =
                    new MembershipMessage(MessageKind.PAYLOAD, memberTable.self(), 0, "", List.of(), payload);
            outbox.add(new OutboundDatagram(known.gossipAddress(), message));
        });
    }

    /** Sends a text, of printable ASCII without spaces and at most 120 bytes, to a peer; it is lost where that is not known. */
    public void sendText(String recipient, long correlationId, String text) {
        memberTable
                .find(recipient)
                .ifPresent(known -> enqueue(known.gossipAddress(), MessageKind.TEXT, correlationId, text));
    }

    /** Asks a known peer for its recovery report; the answer goes to the {@link RecoveryExchange}. */
    public void sendRecoveryQuery(String recipient, long correlationId) {
        MemberRecord known = memberTable.find(recipient).orElseThrow();
        enqueue(known.gossipAddress(), MessageKind.RECOVERY_QUERY, correlationId, "");
    }

    // ---- gossip

    /** 0 where this member is well; more where its own slowness made it late to hear (Lifeguard section IV-A). */
    public int healthScore() {
        return healthScore;
    }

    /** How long ago what is believed of the member last changed; zero where it never did. */
    public Duration timeSinceChange(Duration now, String name) {
        return gossipQueue.timeSinceChange(now, name);
    }

    private int peerCount() {
        return memberTable.size() - 1;
    }

    /** Gossips a record that is new here. */
    private void announce(Duration now, MemberRecord changed) {
        gossipQueue.enqueue(now, changed.name());
        if (changed.status() == MemberStatus.SUSPECT) {
            suspicionTimers.start(now, changed.name());
        } else {
            suspicionTimers.cancel(changed.name());
        }
        if (!changed.name().equals(memberTable.self())) {
            log.write(LogEvent.info("member-status-changed")
                    .with("member", changed.name())
                    .with("status", changed.status().wireName())
                    .with("incarnation", changed.incarnation()));
        } else if (changed.status() == MemberStatus.ALIVE && changed.incarnation() > 0) {
            // It had to refute something: it may have been too slow to answer.
            adjustHealth(1);
        }
    }

    private void enqueue(String address, MessageKind kind, long correlationId, String text) {
        List<MemberRecord> records =
                switch (kind) {
                    case SYNC, SYNC_REPLY, RECOVERY_REPLY -> memberTable.records();
                    case PING, ACK, PING_REQUEST, NACK, RECOVERY_QUERY, TEXT, PAYLOAD -> gossipQueue.nextBatch();
                };
        MembershipMessage message = new MembershipMessage(kind, memberTable.self(), correlationId, text, records);
        outbox.add(new OutboundDatagram(address, message));
    }

    private void adjustHealth(int change) {
        healthScore = Math.max(0, Math.min(MAX_HEALTH_SCORE, healthScore + change));
    }

    // ---- messages of peers

    /** Takes in a message that came from that address. */
    public void receive(Duration now, String senderAddress, MembershipMessage message) {
        mergeRecords(now, message);
        long correlationId = message.correlationId();
        switch (message.kind()) {
            case PING -> enqueue(senderAddress, MessageKind.ACK, correlationId, "");
            case PING_REQUEST -> relayPing(now, senderAddress, message);
            case ACK -> receiveAck(correlationId);
            case NACK -> receiveNack(correlationId);
            case SYNC -> enqueue(senderAddress, MessageKind.SYNC_REPLY, correlationId, "");
            case SYNC_REPLY -> {
                // Its records are all that it brings.
            }
            case RECOVERY_QUERY -> recoveryExchange.ifPresent(exchange ->
                    enqueue(senderAddress, MessageKind.RECOVERY_REPLY, correlationId, exchange.recoveryReport()));
            case RECOVERY_REPLY -> recoveryExchange.ifPresent(
                    exchange -> exchange.onRecoveryReply(message.sender(), correlationId, message.text()));
            case TEXT -> dispatcher.dispatchText(message.sender(), correlationId, message.text());
            case PAYLOAD -> dispatcher.dispatchPayload(message.sender(), message.payload());
        }
    }

    private void mergeRecords(Duration now, MembershipMessage message) {
        for (MemberRecord update : message.records()) {
            boolean isFull = memberTable.size() >= MAX_MEMBERS;
            if (isFull && memberTable.find(update.name()).isEmpty()) {
                continue;
            }
            if (update.status() == MemberStatus.SUSPECT) {
                suspicionTimers.confirm(update.name(), message.sender());
            }
            memberTable.merge(update).ifPresent(changed -> announce(now, changed));
        }
    }

    private void relayPing(Duration now, String requester, MembershipMessage request) {
        lastCorrelationId++;
        relayedPings.add(now, lastCorrelationId, requester, request.correlationId());
        enqueue(request.text(), MessageKind.PING, lastCorrelationId, "");
    }

    private void receiveAck(long correlationId) {
        if (pendingPings.remove(correlationId) != null) {
            adjustHealth(-1);
        }
        relayedPings
                .remove(correlationId)
                .ifPresent(relayed -> enqueue(relayed.requester(), MessageKind.ACK, relayed.requestId(), ""));
    }

    private void receiveNack(long correlationId) {
        PendingPing ping = pendingPings.get(correlationId);
        if (ping != null && ping.outstandingNacks > 0) {
            ping.outstandingNacks--;
        }
    }

    /** This member leaves in good order; what {@link #tick} returns next has to be sent still. */
    public void leave(Duration now) {
        announce(now, memberTable.markSelfLeft());
        List<MemberRecord> peers = probeSchedule.shuffledLivePeers();
        int farewells = Math.min(settings.indirectPings() + EXTRA_FAREWELLS, peers.size());
        for (MemberRecord peer : peers.subList(0, farewells)) {
            sendNewRequest(peer.gossipAddress(), MessageKind.PING);
        }
    }

    private void sendNewRequest(String address, MessageKind kind) {
        lastCorrelationId++;
        enqueue(address, kind, lastCorrelationId, "");
    }

    private boolean isSelf(MemberRecord member) {
        return member.name().equals(memberTable.self());
    }

    // ---- periodic work

    /** Does what is due, and returns all that is to be sent; to be called every 50 ms or so, and after each message. */
    public List<OutboundDatagram> tick(Duration now) {
        if (now.compareTo(nextPeriodAt) >= 0) {
            // Periods that were slept through are not made up for.
            nextPeriodAt = now.plus(stretched(settings.probePeriod()));
            startPeriod(now);
        }
        checkPendingPings(now);
        for (RelayedPings.RelayedPing relayed : relayedPings.dueNacks(now)) {
            enqueue(relayed.requester(), MessageKind.NACK, relayed.requestId(), "");
        }
        for (String name : suspicionTimers.expired(now, peerCount(), settings.probePeriod())) {
            memberTable.markDead(name).ifPresent(changed -> announce(now, changed));
            suspicionTimers.cancel(name);
        }
        List<OutboundDatagram> datagrams = outbox;
        outbox = new ArrayList<>();
        return datagrams;
    }

    /** A span made longer while this member itself is slow. */
    private Duration stretched(Duration span) {
        return span.multipliedBy(1L + healthScore);
    }

    private void checkPendingPings(Duration now) {
        for (Map.Entry<Long, PendingPing> entry : List.copyOf(pendingPings.entrySet())) {
            PendingPing ping = entry.getValue();
            if (ping.indirectPingAt != null && now.compareTo(ping.indirectPingAt) >= 0) {
                ping.indirectPingAt = null;
                sendIndirectPings(entry.getKey(), ping);
            }
            if (now.compareTo(ping.expiresAt) >= 0) {
                pendingPings.remove(entry.getKey());
                // Peers that did not even send a nack point at this member's own connection.
                adjustHealth(ping.outstandingNacks > 0 ? 2 : 1);
                memberTable.markSuspect(ping.target).ifPresent(changed -> announce(now, changed));
            }
        }
    }

    private void sendIndirectPings(long correlationId, PendingPing ping) {
        Optional<MemberRecord> target = memberTable.find(ping.target);
        int asked = 0;
        for (MemberRecord helper : probeSchedule.shuffledLivePeers()) {
            if (asked < settings.indirectPings() && !helper.name().equals(ping.target) && target.isPresent()) {
                asked++;
                enqueue(
                        helper.gossipAddress(),
                        MessageKind.PING_REQUEST,
                        correlationId,
                        target.get().gossipAddress());
            }
        }
        ping.outstandingNacks = asked;
    }

    private void startPeriod(Duration now) {
        periodCount++;
        if (peerCount() == 0 || periodCount % PERIODS_PER_SYNC == 0) {
            sendSync();
        }
        removeLongGoneMembers(now);
        probeSchedule.nextTarget().ifPresent(target -> ping(now, target));
    }

    private void ping(Duration now, String target) {
        lastCorrelationId++;
        Duration indirectPingAt = now.plus(stretched(settings.pingTimeout()));
        Duration expiresAt = now.plus(stretched(settings.probePeriod()));
        pendingPings.put(lastCorrelationId, new PendingPing(target, indirectPingAt, expiresAt));
        MemberRecord known = memberTable.find(target).orElseThrow();
        enqueue(known.gossipAddress(), MessageKind.PING, lastCorrelationId, "");
    }

    private void removeLongGoneMembers(Duration now) {
        for (MemberRecord member : memberTable.records()) {
            if (!member.isLive()
                    && !isSelf(member)
                    && timeSinceChange(now, member.name()).compareTo(DEAD_MEMBER_RETENTION) > 0) {
                memberTable.remove(member.name());
                gossipQueue.remove(member.name());
            }
        }
    }

    /** Exchanges all records with one peer, or with all seeds where no peer is known. */
    private void sendSync() {
        List<String> addresses = new ArrayList<>();
        for (MemberRecord member : memberTable.records()) {
            // The dead too: it may be this side that was cut off.
            if (!isSelf(member) && member.status() != MemberStatus.LEFT) {
                addresses.add(member.gossipAddress());
            }
        }
        if (!addresses.isEmpty()) {
            sendNewRequest(addresses.get(random.nextInt(addresses.size())), MessageKind.SYNC);
            return;
        }
        String ownAddress = memberTable.ownRecord().gossipAddress();
        for (String seed : settings.seeds()) {
            if (!seed.equals(ownAddress)) {
                sendNewRequest(seed, MessageKind.SYNC);
            }
        }
    }
}
