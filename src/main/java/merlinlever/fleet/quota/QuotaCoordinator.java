package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import merlinlever.controller.QuotaDemand;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.GuardedAction;

/**
 * Coordinates the quotas on one backend: requests leases from the leader, passes the granted amounts to the consumer,
 * and grants leases while this backend is the leader. A leader grants its own leases without sending messages.
 *
 * <p>Does no I/O; not thread-safe. Times are measured from the start of the process.
 */
public final class QuotaCoordinator {

    /** Types of the messages that {@link #receive} accepts. */
    public static final Set<String> MESSAGE_TYPES = Set.of(LeaseMessage.Request.TYPE, LeaseMessage.Grant.TYPE);

    /**
     * A backend requests its demand plus one unit plus the demand divided by this number. Otherwise a backend with a
     * small lease could not signal growing demand.
     */
    private static final int EXTRA_DEMAND_DIVISOR = 4;
    /** Number of requests per lease duration. */
    private static final int REQUESTS_PER_LEASE = 4;
    /** Divisor of the request interval; the quotient is the maximum random delay added to each interval. */
    private static final int JITTER_DIVISOR = 4;
    /** Divisor of the request interval for a backend whose demand exceeds its lease. */
    private static final int URGENT_REQUEST_DIVISOR = 4;

    private static final Duration ROTATION_INTERVAL_WITHOUT_QUOTAS = Duration.ofSeconds(1);
    private static final long NO_TERM = -1;

    /** State of one quota on this backend. */
    private static final class QuotaState {
        private FleetQuota quota;
        private final QuotaLease lease;
        private Duration nextRequestAt;
        private boolean wantedSinceRequest;
        /** Present while this backend is the leader. */
        private Optional<LeaseLedger> ledger = Optional.empty();

        QuotaState(FleetQuota quota, long incarnation, Duration now) {
            this.quota = quota;
            lease = new QuotaLease(quota, incarnation);
            nextRequestAt = now;
        }

        void update(FleetQuota changed) {
            quota = changed;
            lease.updateQuota(changed);
            ledger.ifPresent(current -> current.updateQuota(changed));
        }

        Duration requestInterval() {
            return quota.leaseDuration().dividedBy(REQUESTS_PER_LEASE);
        }
    }

    private final LeaseHolder self;
    private final List<QuotaState> states = new ArrayList<>();
    private final LeaderElection election;
    private final SplittableRandom random;
    private final QuotaConsumer consumer;
    private final EventLog log;
    private final List<PeerMessage.Text> outbox = new ArrayList<>();
    private long ledgerTerm = NO_TERM;
    private Duration nextRotationAt = Duration.ZERO;
    /** Without a fleet view, the leader may always grant. */
    private Optional<FleetView> fleetView = Optional.empty();

    /**
     * Creates the coordinator of a backend.
     *
     * @param self this incarnation of this backend
     * @param election leader election; the owner has to call its tick before each {@link #tick} of this coordinator
     */
    public QuotaCoordinator(
            Duration now,
            LeaseHolder self,
            List<FleetQuota> quotas,
            LeaderElection election,
            SplittableRandom random,
            QuotaConsumer consumer,
            EventLog log) {
        this.self = self;
        this.election = election;
        this.random = random;
        this.consumer = consumer;
        this.log = log;
        quotas.forEach(quota -> states.add(new QuotaState(quota, self.incarnation(), now)));
    }

    /** Sets the fleet view; afterwards this backend grants leases only while the view permits grants. */
    public void setFleetView(FleetView view) {
        fleetView = Optional.of(view);
    }

    /** Updates the configured quotas. Amounts above a lower limit are reclaimed as their leases expire. */
    public void updateQuotas(List<FleetQuota> changed) {
        for (FleetQuota quota : changed) {
            states.stream()
                    .filter(state -> state.quota.name().equals(quota.name()))
                    .forEach(state -> state.update(quota));
        }
    }

    private Optional<QuotaState> find(String quota) {
        return states.stream().filter(state -> state.quota.name().equals(quota)).findFirst();
    }

    // ---- requests

    /** Performs the due work and returns the messages to send. Has to be called every few milliseconds. */
    public List<PeerMessage.Text> tick(Duration now) {
        Optional<Leadership.Leader> leader = election.leader(now);
        updateLedgers(now);
        for (QuotaState state : states) {
            QuotaDemand demand = consumer.demand(now, state.quota);
            state.wantedSinceRequest |= demand.wanted() > 0;
            if (isRequestDue(now, state, demand)) {
                Duration interval = state.requestInterval();
                state.nextRequestAt = now.plus(interval).plus(randomUpTo(interval.dividedBy(JITTER_DIVISOR)));
                request(now, state, leader, demand);
            }
            consumer.setAllowance(state.quota, state.lease.available(now), state.lease.expiresAt());
        }
        return drainOutbox();
    }

    private static boolean isRequestDue(Duration now, QuotaState state, QuotaDemand demand) {
        boolean wantsMore = demand.wanted() > state.lease.available(now);
        Duration interval = state.requestInterval();
        Duration advance = interval.minus(interval.dividedBy(URGENT_REQUEST_DIVISOR));
        Duration dueAt = wantsMore ? state.nextRequestAt.minus(advance) : state.nextRequestAt;
        return now.compareTo(dueAt) >= 0;
    }

    private Duration randomUpTo(Duration bound) {
        return Duration.ofNanos(random.nextLong(bound.toNanos() + 1));
    }

    private void request(Duration now, QuotaState state, Optional<Leadership.Leader> leader, QuotaDemand demand) {
        if (leader.isEmpty()) {
            queryLeader(state);
            return;
        }
        long wanted = Math.min(amountToRequest(state, demand), state.quota.limit());
        state.wantedSinceRequest = false;
        long term = leader.get().term();
        state.lease
                .requestRenewal(now, term, demand.inUse(), wanted)
                .ifPresent(renewal -> send(now, state, leader.get(), renewal));
    }

    private static long amountToRequest(QuotaState state, QuotaDemand demand) {
        boolean wantsNothing = demand.wanted() == 0 && !state.wantedSinceRequest;
        return wantsNothing ? 0 : demand.wanted() + demand.wanted() / EXTRA_DEMAND_DIVISOR + 1;
    }

    /** Sends a query for the current leader to a random voter. */
    private void queryLeader(QuotaState state) {
        List<String> voters = election.voters();
        String voter = voters.get(random.nextInt(voters.size()));
        if (!voter.equals(self.backend())) {
            send(voter, 0, LeaseMessage.Request.leaderQuery(state.quota.name(), self.incarnation()));
        }
    }

    private void send(Duration now, QuotaState state, Leadership.Leader leader, QuotaLease.RenewalRequest renewal) {
        LeaseMessage.Request request = new LeaseMessage.Request(
                leader.term(),
                state.quota.name(),
                self.incarnation(),
                renewal.currentGrant(),
                renewal.held(),
                renewal.inUse(),
                renewal.wanted());
        if (leader.name().equals(self.backend())) {
            grant(now, state, self.backend(), request)
                    .ifPresent(grant -> state.lease.applyGrant(leader.term(), renewal.correlationId(), grant));
        } else {
            send(leader.name(), renewal.correlationId(), request);
        }
    }

    private void send(String recipient, long correlationId, LeaseMessage message) {
        outbox.add(new PeerMessage.Text(recipient, correlationId, message.encode()));
    }

    private List<PeerMessage.Text> drainOutbox() {
        List<PeerMessage.Text> messages = List.copyOf(outbox);
        outbox.clear();
        return messages;
    }

    // ---- grants

    /** Creates the ledgers of a new leadership, discards ledgers after a leadership and rotates remainders. */
    private void updateLedgers(Duration now) {
        if (!election.isLeader(now)) {
            states.forEach(state -> state.ledger = Optional.empty());
            ledgerTerm = NO_TERM;
            return;
        }
        if (ledgerTerm != election.term()) {
            ledgerTerm = election.term();
            states.forEach(state -> state.ledger = Optional.of(new LeaseLedger(now, state.quota)));
            log.write(LogEvent.info("quota-leadership-started").with("term", ledgerTerm));
        }
        if (now.compareTo(nextRotationAt) >= 0) {
            Duration interval = states.isEmpty()
                    ? ROTATION_INTERVAL_WITHOUT_QUOTAS
                    : states.get(0).quota.leaseDuration();
            nextRotationAt = now.plus(interval);
            states.forEach(state -> state.ledger.ifPresent(LeaseLedger::rotateRemainder));
        }
    }

    private Optional<LeaseGrant> grant(Duration now, QuotaState state, String holder, LeaseMessage.Request message) {
        boolean permitted = fleetView
                .map(view -> view.permission(now, GuardedAction.GRANT_QUOTA) == ActionPermissions.Permission.ALLOWED)
                .orElse(true);
        if (!permitted) {
            return Optional.empty();
        }
        LeaseRequest request = new LeaseRequest(
                holder,
                message.incarnation(),
                message.currentGrant(),
                message.held(),
                message.inUse(),
                message.wanted());
        return state.ledger.flatMap(ledger -> ledger.grant(now, request));
    }

    // ---- messages from peers

    /** Processes a peer's message, whose type is one of {@link #MESSAGE_TYPES}, and returns the messages to send. */
    public List<PeerMessage.Text> receive(Duration now, String sender, long correlationId, String text) {
        try {
            LeaseMessage.Received message = new LeaseMessage.Received(text);
            switch (message.type()) {
                case LeaseMessage.Request.TYPE -> requestReceived(now, sender, correlationId, message);
                case LeaseMessage.Grant.TYPE -> grantReceived(now, sender, correlationId, message);
                default -> throw new IllegalArgumentException("unknown type " + message.type());
            }
        } catch (IllegalArgumentException e) {
            log.info("quota-message-malformed peer=" + sender + " message=\"" + text + "\"");
        }
        return drainOutbox();
    }

    private void requestReceived(Duration now, String sender, long correlationId, LeaseMessage.Received message) {
        Optional<String> announcement = election.leaderAnnouncement(now);
        updateLedgers(now);
        if (announcement.isEmpty()) {
            return;
        }
        if (ledgerTerm == NO_TERM || message.term() != ledgerTerm) {
            outbox.add(new PeerMessage.Text(sender, 0, announcement.get()));
            return;
        }
        String quota = message.quota();
        find(quota)
                .flatMap(state -> grant(now, state, sender, message.toRequest()))
                .ifPresent(grant -> send(sender, correlationId, new LeaseMessage.Grant(ledgerTerm, quota, grant)));
    }

    private void grantReceived(Duration now, String sender, long correlationId, LeaseMessage.Received message) {
        Optional<QuotaState> state = find(message.quota());
        long term = message.term();
        if (state.isPresent()
                && state.get()
                        .lease
                        .applyGrant(term, correlationId, message.toGrant().grant())) {
            election.observeLeader(now, sender, term);
        }
    }

    // ---- status

    /** Returns the amount of the quota at the index that this backend may use now. */
    public long available(Duration now, int index) {
        return states.get(index).lease.available(now);
    }

    /** Returns whether this backend is the leader, which grants the leases. */
    public boolean isLeader(Duration now) {
        return election.isLeader(now);
    }

    /** Returns the quotas and this backend's leases as a JSON array. */
    public String statusJson(Duration now) {
        List<String> objects = new ArrayList<>();
        Optional<Leadership.Leader> leader = election.leader(now);
        for (QuotaState state : states) {
            long remainingMs = Math.max(0, state.lease.expiresAt().minus(now).toMillis());
            objects.add("{\"name\":\"" + state.quota.name()
                    + "\",\"whole\":" + state.quota.limit()
                    + ",\"share\":" + state.lease.available(now)
                    + ",\"left_ms\":" + remainingMs
                    + ",\"in_use\":" + consumer.demand(now, state.quota).inUse()
                    + ",\"leader\":\"" + leader.map(Leadership.Leader::name).orElse("")
                    + "\",\"term\":" + leader.map(Leadership.Leader::term).orElse(0L)
                    + ",\"out\":"
                    + state.ledger.map(ledger -> ledger.outstanding(now)).orElse(-1L)
                    + "}");
        }
        return "[" + String.join(",", objects) + "]";
    }
}
