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
 * One backend's part in the fleet's membership view: polls the voters and reports to them what it observes, probes the few members
 * that the view assigns to it, adopts each view with a higher number, and, where it leads, numbers the next one. It does no
 * input or output and has no clock; times are since the process began. Not thread-safe.
 *
 * <p>{@link ViewMessage} has the messages. A correlation id is answered once, by the backend that was asked.
 */
public final class ViewManager implements FleetView {

    /** First parts of the texts that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of(
            ViewMessage.Probe.TYPE,
            ViewMessage.ProbeAnswer.TYPE,
            ViewMessage.Poll.TYPE,
            ViewMessage.PollAnswer.TYPE,
            ViewMessage.Fetch.TYPE);

    /** A backend that misses a view fetches it, so a push may be spread over some ticks. */
    private static final int MAX_PUSHES_PER_TICK = 64;
    /** A later view that was heard of is fetched at most so often in a quiet period. */
    private static final int FETCHES_PER_QUIET_PERIOD = 3;

    /**
     * How a view manager is set up.
     *
     * @param settings the same on every backend
     * @param incarnationId first correlation id, which no other incarnation of this backend comes near; later ones are higher
     * @param termFloor the highest term that is on this backend's disk: earlier incarnations may have held views of it
     * @param persistTerm requests that a term be written to disk; true once it is there
     * @param log takes one line an event
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
     * A manager that has adopted no view yet.
     *
     * @param memberTable what membership believes, for the peers' addresses and orderly departures
     * @param election the one of this process
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

    /** Does what is due, and returns what is to be sent; to be called every 50 to 100 ms. */
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
            views.learn(now, proposal.get().view());
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

    /** Takes in a payload of a peer; one that is no view is ignored. */
    public void receivePayload(Duration now, byte[] payload) {
        views.receivePayload(now, payload);
    }

    /** Takes in a text of a peer, of one of the {@link #MESSAGE_TYPES}, and returns what is to be sent in answer. */
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
                views.vouchFor(viewNumber);
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

    /** The state as a JSON object, as {@code GET /state} shows it; its fields are described in docs/fleet/operators.md. */
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
