package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.PeerMessage;

/**
 * Maintains the membership view on one backend. The manager polls the voters and reports unreachable members to them,
 * probes the members that the view assigns to this backend, adopts views with higher numbers and, on the leader,
 * creates the next view. It does no input or output and has no clock; times are measured from the start of the process.
 * Not thread-safe.
 *
 * <p>The messages are described in {@link ViewMessage}. Each correlation id is answered at most once, by the recipient
 * of the message.
 */
public final class ViewManager implements FleetView {

    /** Type fields of the texts that {@link #receive} accepts. */
    public static final Set<String> MESSAGE_TYPES = Set.of(
            ViewMessage.Probe.TYPE,
            ViewMessage.ProbeAnswer.TYPE,
            ViewMessage.Poll.TYPE,
            ViewMessage.PollAnswer.TYPE,
            ViewMessage.Fetch.TYPE);

    /** Limits the burst of a push; backends that miss a view fetch the view later. */
    private static final int MAX_PUSHES_PER_TICK = 64;
    /** Maximum number of fetches of a later view in one quiet period. */
    private static final int FETCHES_PER_QUIET_PERIOD = 3;

    /**
     * The configuration and dependencies of a view manager.
     *
     * @param settings must be the same on every backend
     * @param incarnationId first correlation id; far from the ids of other incarnations of this backend, and higher
     *     than those of earlier incarnations
     * @param termFloor highest term on the disk of this backend; earlier incarnations may have adopted views of this
     *     term
     * @param persistTerm requests that a term be written to disk, and returns true once the write has completed
     * @param log receives the events of the view
     */
    public record Setup(
            ViewSettings settings,
            long incarnationId,
            long termFloor,
            LongPredicate persistTerm,
            SplittableRandom random,
            EventLog log) {}

    private final ViewSettings settings;
    private final MemberTable memberTable;
    private final LeaderElection election;
    private final VoterSet voters;
    private final EventLog log;
    private final VoterResponses voterResponses = new VoterResponses();
    private final FailureDetector failureDetector;
    private final CutDetector cutDetector;
    private final QuorumStatusHysteresis statusHysteresis;
    private final QuorumEvaluator quorumEvaluator;
    private final DivergenceMonitor divergenceMonitor;
    private final ViewAdoption views;
    private final ViewProposer proposer;
    private final RateLimitedOutbox outbox;
    private final ArrayDeque<String> pushQueue = new ArrayDeque<>();
    private long pushBaseNumber;
    private Duration lastTickAt;
    private Duration nextPollAt;
    private Duration nextFetchAt;
    private long lastCorrelationId;

    /**
     * Creates a manager that has not adopted a view.
     *
     * @param memberTable the membership records, which show known peers and departures
     * @param election the leader election of this process
     */
    public ViewManager(Duration now, Setup setup, MemberTable memberTable, LeaderElection election) {
        settings = setup.settings();
        this.memberTable = memberTable;
        this.election = election;
        log = setup.log();
        voters = new VoterSet(election.voters(), memberTable.self());
        divergenceMonitor = new DivergenceMonitor(voterResponses, settings.minReportValidity(), log);
        failureDetector = new FailureDetector(
                settings, setup.incarnationId(), setup.random().split());
        cutDetector = new CutDetector(settings);
        statusHysteresis = new QuorumStatusHysteresis(now, settings.quietPeriod());
        views = new ViewAdoption(now, voters.self(), setup.termFloor(), setup.persistTerm(), failureDetector, log);
        quorumEvaluator =
                new QuorumEvaluator(now, voters, settings, memberTable, views, voterResponses, failureDetector);
        proposer = new ViewProposer(
                voters, election, memberTable, views, cutDetector, voterResponses, this::reportValidity);
        outbox = new RateLimitedOutbox(now);
        lastCorrelationId = setup.incarnationId();
        lastTickAt = now;
        nextFetchAt = now;
        nextPollAt =
                now.plusNanos(setup.random().nextLong(settings.minPollInterval().toNanos()));
    }

    // ---- FleetView

    @Override
    public QuorumStatus status(Duration now) {
        return wasPaused(now) ? QuorumStatus.RECOVERING : statusHysteresis.shown();
    }

    @Override
    public Duration statusSince() {
        return statusHysteresis.shownSince();
    }

    @Override
    public MembershipView view() {
        return views.adopted();
    }

    // ---- periodic work

    /** Runs the periodic work and returns the messages to be sent; must be called every 50 to 100 ms. */
    public List<PeerMessage> tick(Duration now) {
        if (wasPaused(now)) {
            recoverFromPause(now);
        }
        lastTickAt = now;
        outbox.tick(now);
        views.adoptLatest(now);
        failureDetector
                .dueProbes(now)
                .forEach(probe ->
                        outbox.addText(probe.subject(), probe.correlationId(), new ViewMessage.Probe().encode()));
        if (now.compareTo(nextPollAt) >= 0) {
            nextPollAt = now.plus(settings.pollInterval(fleetSize()));
            pollVoters(now);
        }
        proposeView(now);
        pushView();
        updateStatus(now);
        return outbox.drain();
    }

    private boolean wasPaused(Duration now) {
        return now.minus(lastTickAt).compareTo(settings.pauseThreshold()) > 0;
    }

    private void recoverFromPause(Duration now) {
        log.write(LogEvent.info("process-paused")
                .with("pause_ms", now.minus(lastTickAt).toMillis()));
        quorumEvaluator.startRecovery(now);
        voterResponses.clear();
        failureDetector.restartObservation(now);
        cutDetector.clear();
        nextPollAt = now;
    }

    private int fleetSize() {
        return views.fleetSize(memberTable);
    }

    private Duration reportValidity() {
        return settings.reportValidity(fleetSize());
    }

    private void pollVoters(Duration now) {
        List<String> unreachable = failureDetector.unreachable(now);
        List<Integer> indexes = unreachable.stream().map(views::indexOf).toList();
        int heardVoters = quorumEvaluator.heardVoters(now);
        ViewMessage poll = new ViewMessage.Poll(
                view().number(),
                view().digest(),
                views.termFloor(),
                heardVoters,
                ViewMessage.Poll.formatIndexes(indexes));
        for (String voter : voters.names()) {
            lastCorrelationId++;
            if (voter.equals(voters.self())) {
                cutDetector.recordReport(
                        voter,
                        new CutDetector.MemberReport(
                                now, lastCorrelationId, view().number(), views.termFloor(), heardVoters, unreachable),
                        reportValidity());
            } else {
                voterResponses.recordPoll(
                        now, voter, lastCorrelationId, reportValidity().multipliedBy(2));
                outbox.addText(voter, lastCorrelationId, poll.encode());
            }
        }
    }

    private void proposeView(Duration now) {
        boolean mayDecide = permission(now, GuardedAction.DECIDE) == ActionPermissions.Permission.ALLOWED;
        Optional<ViewProposer.Proposal> proposal = proposer.propose(now, mayDecide);
        if (proposal.isPresent()) {
            views.recordView(now, proposal.get().view());
            pushBaseNumber = proposal.get().baseNumber();
            pushQueue.clear();
            pushQueue.addAll(proposal.get().recipients());
        }
    }

    private void pushView() {
        if (pushQueue.isEmpty()) {
            return;
        }
        byte[] payload = views.encodeLatest(pushBaseNumber);
        for (int pushes = 0; pushes < MAX_PUSHES_PER_TICK && !pushQueue.isEmpty(); pushes++) {
            outbox.addPayload(pushQueue.poll(), payload);
        }
    }

    private void updateStatus(Duration now) {
        QuorumStatus previous = statusHysteresis.shown();
        QuorumStatus current = quorumEvaluator.evaluate(now);
        divergenceMonitor.update(now, quorumEvaluator.heardVoterNames(now), view(), views.adoptedAt());
        if (statusHysteresis.update(now, current)) {
            LogEvent changed = LogEvent.info("quorum-status-changed")
                    .with("status", statusHysteresis.shown().wireName())
                    .with("previous", previous.wireName())
                    .with("heard_voters", quorumEvaluator.heardVoters(now))
                    .with("voters", voters.size());
            log.write(view().addTo(changed));
        }
    }

    // ---- messages of peers

    /** Processes a payload of a peer; payloads other than views are ignored. */
    public void receivePayload(Duration now, byte[] payload) {
        views.receivePayload(now, payload);
    }

    /** Processes a text of a peer with one of the {@link #MESSAGE_TYPES}, and returns the messages to be sent. */
    public List<PeerMessage> receive(Duration now, String sender, long correlationId, String text) {
        try {
            ViewMessage.Received message = new ViewMessage.Received(text);
            switch (message.type()) {
                case ViewMessage.Probe.TYPE -> send(sender, correlationId, new ViewMessage.ProbeAnswer());
                case ViewMessage.ProbeAnswer.TYPE -> failureDetector.recordAnswer(now, sender, correlationId);
                case ViewMessage.Poll.TYPE -> receivePoll(now, sender, correlationId, message);
                case ViewMessage.PollAnswer.TYPE -> receivePollAnswer(now, sender, correlationId, message);
                case ViewMessage.Fetch.TYPE -> receiveFetch(sender, message);
                default -> throw new IllegalArgumentException("unknown type " + message.type());
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.write(LogEvent.info("view-message-rejected")
                    .with("sender", sender)
                    .with("text", text));
        }
        return outbox.drain();
    }

    private void send(String recipient, long correlationId, ViewMessage message) {
        outbox.addText(recipient, correlationId, message.encode());
    }

    private void receivePoll(Duration now, String sender, long correlationId, ViewMessage.Received message) {
        if (!voters.includesSelf() || sender.equals(voters.self())) {
            return;
        }
        ViewMessage.Poll poll = message.toPoll();
        boolean isSameView =
                poll.viewNumber() == view().number() && poll.digest().equals(view().digest());
        List<String> unreachable = isSameView
                ? poll.unreachableIndexes().stream().map(views::memberAt).toList()
                : List.of();
        CutDetector.MemberReport report = new CutDetector.MemberReport(
                now, correlationId, poll.viewNumber(), poll.termFloor(), poll.heardVoters(), unreachable);
        cutDetector.recordReport(sender, report, reportValidity());
        long leadingTerm = election.isLeader(now) ? election.term() : 0;
        send(sender, correlationId, new ViewMessage.PollAnswer(view().number(), view().digest(), leadingTerm));
    }

    private void receivePollAnswer(Duration now, String sender, long correlationId, ViewMessage.Received message) {
        ViewMessage.PollAnswer answer = message.toPollAnswer();
        long viewNumber = answer.viewNumber();
        long leadingTerm = answer.leadingTerm();
        if (!voterResponses.recordAnswer(now, sender, correlationId, viewNumber, answer.digest(), view())) {
            return;
        }
        if (leadingTerm > 0) {
            election.observeLeader(now, sender, leadingTerm);
            if (MembershipView.termOf(viewNumber) == leadingTerm) {
                views.recordLeaderViewNumber(viewNumber);
            }
        }
        long latest = views.latestKnown().number();
        if (viewNumber > latest && now.compareTo(nextFetchAt) >= 0) {
            nextFetchAt = now.plus(settings.quietPeriod().dividedBy(FETCHES_PER_QUIET_PERIOD));
            lastCorrelationId++;
            send(sender, lastCorrelationId, new ViewMessage.Fetch(latest, viewNumber));
        }
    }

    private void receiveFetch(String sender, ViewMessage.Received message) {
        if (views.latestKnown().number() >= message.wantedNumber()) {
            outbox.addPayload(sender, views.encodeLatest(message.knownNumber()));
        }
    }

    // ---- monitoring

    /** Returns the state as a JSON object for {@code GET /state}; docs/fleet/operators.md describes the fields. */
    public String json(Duration now) {
        return "{\"standing\":\"" + status(now).wireName()
                + "\",\"since_ms\":" + now.minus(statusSince()).toMillis()
                + ",\"view\":\"" + view().displayNumber()
                + "\",\"digest\":\"" + view().digest()
                + "\",\"members\":" + view().members().size()
                + ",\"inside\":" + view().members().contains(voters.self())
                + ",\"clashes\":" + views.numberConflicts()
                + ",\"hears\":" + jsonNames(quorumEvaluator.heardVoterNames(now))
                + ",\"gone\":" + jsonNames(failureDetector.unreachable(now))
                + ",\"others\":[" + divergenceMonitor.json(now) + "]}";
    }

    private static String jsonNames(List<String> names) {
        return names.isEmpty() ? "[]" : "[\"" + String.join("\",\"", names) + "\"]";
    }
}
