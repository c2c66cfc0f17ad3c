package merlinlever.fleet.recovery.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import merlinlever.common.WireNamed;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipCodec;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.membership.RecoveryExchange;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.SwimSettings;
import merlinlever.fleet.membership.net.MembershipTransport;
import merlinlever.fleet.recovery.PeerQuery;
import merlinlever.fleet.recovery.PeerReport;
import merlinlever.fleet.recovery.PersistedStateAssessor;
import merlinlever.fleet.recovery.RecoveryEvent;
import merlinlever.fleet.recovery.RecoverySequence;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.RecoveryStage;
import merlinlever.fleet.recovery.TrustedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;

/**
 * Coordinates the recovery of one process: reads the persisted state of the previous incarnation, joins the membership,
 * queries peers, and tells the service which requests it may admit. While the process runs, the coordinator writes
 * reservations to disk ({@link DurableReservations}), from which the next incarnation derives an upper bound of the
 * incarnations, terms and requests that this incarnation may have used.
 *
 * <p>All methods must be called on the event loop thread. Durations are measured from the start of the process.
 */
public final class RecoveryCoordinator implements RecoveryExchange {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    /** Upper bound of the capacity in a report, which limits the length of the report. */
    private static final double MAX_REPORTED_CAPACITY = 1e9;

    private final EventLoop loop;
    private final LongSupplier unixClock;
    private final RecoveringService service;
    private final EventLog log;
    private final SwimProtocol members;
    private final MembershipTransport transport;
    private final RecoverySequence sequence;
    private final DurableReservations reservations;
    private long knownAddressConflicts;
    private Duration lastEventAt = Duration.ZERO;
    private boolean warmStarted;
    private boolean closed;

    /**
     * Starts recovery. Messages to peers are held back until the incarnation is reserved on disk.
     *
     * @param log receives the recovery events for operators
     * @throws IOException if the listen address cannot be used
     */
    public RecoveryCoordinator(
            NodeEnvironment environment,
            NodeSettings node,
            RecoverySettings settings,
            long seed,
            RecoveringService service,
            EventLog log)
            throws IOException {
        loop = environment.loop();
        unixClock = environment.unixClock();
        this.service = service;
        this.log = log;
        DatagramEndpoint datagrams = new DatagramEndpoint(
                loop, node.listenAddress(), MembershipCodec.MAX_DATAGRAM_BYTES, this::datagramReceived);
        String boundAddress = MembershipTransport.formatAddress(datagrams.address());
        String gossipAddress = node.advertisedAddress().orElse(boundAddress);
        String owner = node.owner(gossipAddress);
        RecoveryFile file = new RecoveryFile(environment.directory());
        long unixNow = unixClock.getAsLong();
        TrustedState trusted = PersistedStateAssessor.assess(file.read(), owner, unixNow);
        trusted.findings().forEach(finding -> log.info(finding.toLogLine()));
        List<String> seedAddresses = peerAddresses(node, trusted, gossipAddress);
        SplittableRandom random = new SplittableRandom(seed);
        members = new SwimProtocol(
                now(),
                new MemberTable(node.name(), gossipAddress, node.apiAddress(), trusted.incarnation()),
                SwimSettings.defaults(seedAddresses),
                random.split(),
                log);
        members.setRecoveryExchange(this);
        sequence = new RecoverySequence(now(), unixNow, trusted, settings, !seedAddresses.isEmpty(), random.split());
        reservations = new DurableReservations(
                environment, owner, settings.reservationInterval(), trusted.highestTerm(), this::snapshot, log);
        transport = new MembershipTransport(
                loop,
                datagrams,
                members,
                new MembershipCodec(node.secret().getBytes(StandardCharsets.UTF_8)),
                reservations::isIncarnationReserved);
        loop.runNowAndEvery(POLL_INTERVAL, this::poll);
    }

    /** Returns the configured and the persisted peer addresses, without the address of this process. */
    private static List<String> peerAddresses(NodeSettings node, TrustedState trusted, String gossipAddress) {
        Set<String> addresses = new LinkedHashSet<>(node.seedAddresses());
        addresses.addAll(trusted.peerAddresses());
        addresses.remove(gossipAddress);
        return List.copyOf(addresses);
    }

    private void datagramReceived(byte[] bytes, InetSocketAddress from, Duration waited) {
        transport.receive(bytes, from);
    }

    /** Returns the membership protocol of this process. */
    public SwimProtocol membership() {
        return members;
    }

    /** Returns the recovery sequence of this process. */
    public RecoverySequence sequence() {
        return sequence;
    }

    /** Sends the messages to peers at once. */
    public void send(List<? extends PeerMessage> messages) {
        messages.forEach(members::send);
        if (!messages.isEmpty()) {
            flush();
        }
    }

    /** Sends pending messages to peers without waiting for the next poll. */
    public void flush() {
        transport.flush();
    }

    /** Announces to the peers that this process is leaving the fleet. */
    public void announceLeave() {
        transport.leave();
    }

    /**
     * Ends this incarnation while the process continues. No datagram is received or sent afterwards, and no further
     * write is started. Waits up to the timeout for a write in progress. The caller remains responsible for closing the
     * state directory.
     *
     * @return whether the last write has completed
     */
    public boolean close(Duration timeout) {
        closed = true;
        transport.close();
        return reservations.close(timeout);
    }

    private Duration now() {
        return loop.clock().uptime();
    }

    private MemberRecord self() {
        return members.memberTable().ownRecord();
    }

    // ---- the exchange with peers

    /** Returns the report for a recovering peer: Unix clock, stage and learned capacity. */
    @Override
    public String recoveryReport() {
        return String.format(
                Locale.ROOT,
                "%d/%s/%.2f",
                unixClock.getAsLong(),
                sequence.stage().wireName(),
                Math.min(MAX_REPORTED_CAPACITY, service.learnedCapacity()));
    }

    /** Processes the report of a peer, in the format of {@link #recoveryReport}. */
    @Override
    public void onRecoveryReply(String sender, long correlationId, String text) {
        String[] fields = text.split("/");
        PeerReport report;
        try {
            report = new PeerReport(
                    Long.parseLong(fields[0]),
                    WireNamed.parse(RecoveryStage.class, fields[1]),
                    Double.parseDouble(fields[2]));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.info("recovery-report-malformed peer=" + sender + " report=\"" + text + "\"");
            return;
        }
        sequence.reportReceived(now(), unixClock.getAsLong(), sender, correlationId, report);
    }

    // ---- polling

    private void poll() {
        if (closed) {
            return;
        }
        Duration now = now();
        observeMembership(now);
        for (PeerQuery query : sequence.dueQueries(now)) {
            members.sendRecoveryQuery(query.peer(), query.correlationId());
        }
        if (service.isWarmedUp()) {
            sequence.serviceWarmedUp(now);
        }
        for (RecoveryEvent event : sequence.takeEvents()) {
            lastEventAt = event.at();
            log.info(event.toLogLine());
        }
        warmStartOnce();
        reservations.revokeIfClockWasSet(now);
        service.admitNonIdempotent(sequence.nonIdempotentAdmittedFrom(now), reservations.nonIdempotentUntil());
        reservations.renewIfDue(now, self().incarnation());
    }

    private void observeMembership(Duration now) {
        for (MemberRecord member : members.memberTable().records()) {
            if (!member.name().equals(members.memberTable().self())) {
                sequence.peerStatusChanged(now, member.name(), member.status() == MemberStatus.ALIVE);
            }
        }
        if (members.memberTable().addressConflicts() != knownAddressConflicts) {
            knownAddressConflicts = members.memberTable().addressConflicts();
            if (knownAddressConflicts > 1) {
                sequence.nameConflictObserved(now);
            }
        }
    }

    private void warmStartOnce() {
        if (!warmStarted && sequence.estimateWeight() > 0) {
            warmStarted = true;
            service.warmStart(sequence.capacityEstimate(), sequence.estimateWeight());
        }
    }

    private DurableReservations.Snapshot snapshot() {
        List<String> peerAddresses = new ArrayList<>();
        for (MemberRecord member : members.memberTable().records()) {
            if (!member.name().equals(members.memberTable().self()) && member.status() != MemberStatus.LEFT) {
                peerAddresses.add(member.gossipAddress());
            }
        }
        return new DurableReservations.Snapshot(self().incarnation(), service.learnedCapacity(), peerAddresses);
    }

    /** Requests that an election term be written to disk; see {@link DurableReservations#reserveTerm}. */
    public boolean reserveTerm(long term) {
        return reservations.reserveTerm(term);
    }

    /** Returns the highest election term that this or an earlier incarnation has reserved. */
    public long highestTerm() {
        return reservations.highestTerm();
    }

    /** Returns the progress of recovery as a JSON object. */
    public String statusJson() {
        Duration now = now();
        RecoverySequence.PeerCounts peers = sequence.peerCounts();
        long nonIdempotentInMs =
                Math.max(0, sequence.nonIdempotentAdmittedFrom(now).minus(now).toMillis());
        long reservedForMs =
                Math.max(0, reservations.nonIdempotentUntil().minus(now).toMillis());
        return "{\"stage\":\"" + sequence.stage().wireName() + "\",\"since_ms\":"
                + now.minus(lastEventAt).toMillis() + ",\"incarnation\":" + self().incarnation()
                + ",\"others\":" + peers.known() + ",\"told\":" + peers.reported() + ",\"keyed_in_ms\":"
                + nonIdempotentInMs + ",\"mark_ms\":" + reservedForMs + ",\"disk\":" + !reservations.hasWriteFailed()
                + "}";
    }
}
