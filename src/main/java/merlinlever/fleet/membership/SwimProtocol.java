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
 * Membership protocol (SWIM with the local health of Lifeguard): schedules pings, suspects unresponsive members and
 * gossips member records. The protocol does no I/O and has no clock; times are measured from the start of the process.
 * Not thread-safe.
 */
public final class SwimProtocol {

    /** Maximum number of known members; records of further members are ignored. */
    public static final int MAX_MEMBERS = 2000;

    /** Maximum payload size of a message. */
    public static final int MAX_PAYLOAD_BYTES = 48 << 10;

    private static final int MAX_HEALTH_SCORE = 8;
    /** Number of probe periods between full synchronizations with a random peer. */
    private static final int PERIODS_PER_SYNC = 10;

    private static final Duration DEAD_MEMBER_RETENTION = Duration.ofHours(24);
    /** Number of peers that a leaving member pings in addition to {@link SwimSettings#indirectPings}. */
    private static final int EXTRA_LEAVE_PINGS = 2;

    /** A ping without a reply so far. */
    private static final class PendingPing {
        private final String target;
        private final Duration expiresAt;
        /** Time at which peers are requested to ping the target too; null after the requests were sent. */
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
    /** Empty if this member neither sends nor answers recovery queries. */
    private Optional<RecoveryExchange> recoveryExchange = Optional.empty();

    private long lastCorrelationId;
    private long periodCount;
    private int healthScore;

    /**
     * Creates the protocol of one member.
     *
     * @param log receives one event for each change of a peer's record
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
        recordChanged(now, memberTable.ownRecord());
    }

    /** Returns the records of all members as known to this member. */
    public MemberTable memberTable() {
        return memberTable;
    }

    /** Sets the exchange that answers peers' recovery queries and handles the replies to this member's queries. */
    public void setRecoveryExchange(RecoveryExchange exchange) {
        recoveryExchange = Optional.of(exchange);
    }

    /**
     * Registers the handler for text messages of the given types.
     *
     * @throws IllegalStateException if one of the types already has a handler
     */
    public void addTextHandler(Set<String> messageTypes, TextMessageHandler handler) {
        dispatcher.addTextHandler(messageTypes, handler);
    }

    /** Registers a handler that receives all payloads. */
    public void addPayloadHandler(PayloadHandler handler) {
        dispatcher.addPayloadHandler(handler);
    }

    // ---- messages of other protocols

    /** Queues a message for the next {@link #tick}; a message to an unknown recipient is dropped. */
    public void send(PeerMessage message) {
        if (message instanceof PeerMessage.Text text) {
            sendText(text.recipient(), text.correlationId(), text.text());
        } else if (message instanceof PeerMessage.Payload payload) {
            sendPayload(payload.recipient(), payload.content());
        }
    }

    /**
     * Queues a payload for a peer; a payload to an unknown recipient is dropped.
     *
     * @throws IllegalArgumentException if the payload exceeds {@link #MAX_PAYLOAD_BYTES}
     */
    public void sendPayload(String recipient, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("payload is too large: " + payload.length + " bytes");
        }
        memberTable.find(recipient).ifPresent(known -> {
            MembershipMessage message =
                    new MembershipMessage(MessageKind.PAYLOAD, memberTable.self(), 0, "", List.of(), payload);
            outbox.add(new OutboundDatagram(known.gossipAddress(), message));
        });
    }

    /**
     * Queues a text of printable ASCII without spaces and at most 120 bytes for a peer; a text to an unknown recipient
     * is dropped.
     */
    public void sendText(String recipient, long correlationId, String text) {
        memberTable
                .find(recipient)
                .ifPresent(known -> enqueue(known.gossipAddress(), MessageKind.TEXT, correlationId, text));
    }

    /** Requests the recovery report of a known peer; the {@link RecoveryExchange} handles the reply. */
    public void sendRecoveryQuery(String recipient, long correlationId) {
        MemberRecord known = memberTable.find(recipient).orElseThrow();
        enqueue(known.gossipAddress(), MessageKind.RECOVERY_QUERY, correlationId, "");
    }

    // ---- gossip

    /**
     * Returns 0 for a healthy member and higher values for a member that processes messages late (Lifeguard section
     * IV-A).
     */
    public int healthScore() {
        return healthScore;
    }

    /** Returns the time since the last change of the member's record; zero if the record has never changed. */
    public Duration timeSinceChange(Duration now, String name) {
        return gossipQueue.timeSinceChange(now, name);
    }

    private int peerCount() {
        return memberTable.size() - 1;
    }

    /** Queues a changed record for gossip, updates its suspicion timer and logs a change of a peer's record. */
    private void recordChanged(Duration now, MemberRecord changed) {
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
            // This member refuted an update about itself, possibly because its replies were late.
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

    /** Processes a message received from the given address. */
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
                // A reply carries only records, which are merged above.
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
            memberTable.merge(update).ifPresent(changed -> recordChanged(now, changed));
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

    /** Leaves the fleet gracefully. The caller still has to send the datagrams from the next {@link #tick}. */
    public void leave(Duration now) {
        recordChanged(now, memberTable.markSelfLeft());
        List<MemberRecord> peers = probeSchedule.shuffledLivePeers();
        int leavePings = Math.min(settings.indirectPings() + EXTRA_LEAVE_PINGS, peers.size());
        for (MemberRecord peer : peers.subList(0, leavePings)) {
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

    /**
     * Performs the due work and returns the datagrams to send. Has to be called about every 50 ms and after each
     * message.
     */
    public List<OutboundDatagram> tick(Duration now) {
        if (now.compareTo(nextPeriodAt) >= 0) {
            // Missed periods are skipped.
            nextPeriodAt = now.plus(extendedByHealthScore(settings.probePeriod()));
            startPeriod(now);
        }
        checkPendingPings(now);
        for (RelayedPings.RelayedPing relayed : relayedPings.dueNacks(now)) {
            enqueue(relayed.requester(), MessageKind.NACK, relayed.requestId(), "");
        }
        for (String name : suspicionTimers.expired(now, peerCount(), settings.probePeriod())) {
            memberTable.markDead(name).ifPresent(changed -> recordChanged(now, changed));
            suspicionTimers.cancel(name);
        }
        List<OutboundDatagram> datagrams = outbox;
        outbox = new ArrayList<>();
        return datagrams;
    }

    /** Extends a timeout in proportion to this member's health score. */
    private Duration extendedByHealthScore(Duration timeout) {
        return timeout.multipliedBy(1L + healthScore);
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
                // A missing nack suggests that this member's own connection is faulty.
                adjustHealth(ping.outstandingNacks > 0 ? 2 : 1);
                memberTable.markSuspect(ping.target).ifPresent(changed -> recordChanged(now, changed));
            }
        }
    }

    private void sendIndirectPings(long correlationId, PendingPing ping) {
        Optional<MemberRecord> target = memberTable.find(ping.target);
        int requests = 0;
        for (MemberRecord relay : probeSchedule.shuffledLivePeers()) {
            if (requests < settings.indirectPings() && !relay.name().equals(ping.target) && target.isPresent()) {
                requests++;
                enqueue(
                        relay.gossipAddress(),
                        MessageKind.PING_REQUEST,
                        correlationId,
                        target.get().gossipAddress());
            }
        }
        ping.outstandingNacks = requests;
    }

    private void startPeriod(Duration now) {
        periodCount++;
        if (peerCount() == 0 || periodCount % PERIODS_PER_SYNC == 0) {
            sendSync();
        }
        removeExpiredMembers(now);
        probeSchedule.nextTarget().ifPresent(target -> ping(now, target));
    }

    private void ping(Duration now, String target) {
        lastCorrelationId++;
        Duration indirectPingAt = now.plus(extendedByHealthScore(settings.pingTimeout()));
        Duration expiresAt = now.plus(extendedByHealthScore(settings.probePeriod()));
        pendingPings.put(lastCorrelationId, new PendingPing(target, indirectPingAt, expiresAt));
        MemberRecord known = memberTable.find(target).orElseThrow();
        enqueue(known.gossipAddress(), MessageKind.PING, lastCorrelationId, "");
    }

    private void removeExpiredMembers(Duration now) {
        for (MemberRecord member : memberTable.records()) {
            if (!member.isLive()
                    && !isSelf(member)
                    && timeSinceChange(now, member.name()).compareTo(DEAD_MEMBER_RETENTION) > 0) {
                memberTable.remove(member.name());
                gossipQueue.remove(member.name());
            }
        }
    }

    /** Exchanges all records with a random peer, or with all seeds if no peer is known. */
    private void sendSync() {
        List<String> addresses = new ArrayList<>();
        for (MemberRecord member : memberTable.records()) {
            // A peer that looks dead may be on the other side of a network partition that has healed.
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
