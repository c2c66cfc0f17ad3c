package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.PeerMessage;

/**
 * One backend's part in the fleet's membership view: polls the voters and reports to them what it observes, probes the few members
 * that the view assigns to it, adopts each view with a higher number, and, where it leads, numbers the next one. It does no
 * input or output and has no clock; times are since the process began. Not thread-safe.
 *
 * <p>Texts, each with a correlation id: {@code WP/} probes a member, {@code WO/} answers; {@code
 * WQ/view/digest/floor/heard/unreachable} polls a voter and reports to it, {@code WA/view/digest/term} answers (its term where it
 * leads); {@code WG/known/wanted} fetches a view, which comes as a payload. Numbers of views and terms are in base 36. A
 * correlation id is answered once, by the backend that was asked.
 */
public final class ViewManager implements FleetView {

    private static final String PROBE = "WP";
    private static final String PROBE_ANSWER = "WO";
    private static final String POLL = "WQ";
    private static final String POLL_ANSWER = "WA";
    private static final String FETCH = "WG";
    private static final int RADIX = 36;

    /** First parts of the texts that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of(PROBE, PROBE_ANSWER, POLL, POLL_ANSWER, FETCH);

    /** A backend that misses a view fetches it, so a push may be spread over some ticks. */
    private static final int MAX_PUSHES_PER_TICK = 64;

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
        quorumEvaluator = new QuorumEvaluator(
                now, voters, settings, memberTable, views, voterResponses, failureDetector, this::reportValidity);
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
                .forEach(probe -> outbox.addText(probe.subject(), probe.correlationId(), PROBE + "/"));
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
        log.line("process-paused pause_ms=" + now.minus(lastTickAt).toMillis());
        quorumEvaluator.startRecovery(now);
        voterResponses.clear();
        failureDetector.restartObservation(now);
        cutDetector.clear();
        nextPollAt = now;
    }

    private int fleetSize() {
        return Math.max(view().members().size(), memberTable.size());
    }

    private Duration reportValidity() {
        return settings.reportValidity(fleetSize());
    }

    private void pollVoters(Duration now) {
        List<String> unreachable = failureDetector.unreachable(now);
        StringBuilder indexes = new StringBuilder();
        unreachable.forEach(name -> indexes.append('.').append(Integer.toString(views.indexOf(name), RADIX)));
        int heardVoters = quorumEvaluator.heardVoters(now);
        String poll = String.join(
                "/",
                POLL,
                Long.toString(view().number(), RADIX),
                view().digest(),
                Long.toString(views.termFloor(), RADIX),
                Integer.toString(heardVoters),
                indexes);
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
                outbox.addText(voter, lastCorrelationId, poll);
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
            log.line("quorum-status-changed status=" + statusHysteresis.shown().wireName() + " previous="
                    + previous.wireName() + " heard_voters=" + quorumEvaluator.heardVoters(now) + " voters="
                    + voters.size() + " " + view().describe());
        }
    }

    // ---- messages of peers

    /** Takes in a payload of a peer; one that is no view is ignored. */
    public void receivePayload(Duration now, byte[] payload) {
        views.receivePayload(now, payload);
    }

    /** Takes in a text of a peer, of one of the {@link #MESSAGE_TYPES}, and returns what is to be sent in answer. */
    public List<PeerMessage> receive(Duration now, String sender, long correlationId, String text) {
        String[] parts = text.split("/");
        try {
            switch (parts[0]) {
                case PROBE -> outbox.addText(sender, correlationId, PROBE_ANSWER + "/");
                case PROBE_ANSWER -> failureDetector.recordAnswer(now, sender, correlationId);
                case POLL -> receivePoll(now, sender, correlationId, parts);
                case POLL_ANSWER -> receivePollAnswer(now, sender, correlationId, parts);
                case FETCH -> receiveFetch(sender, parts);
                default -> throw new IllegalArgumentException("unknown type " + parts[0]);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.line("view-message-rejected sender=" + sender + " text=" + text);
        }
        return outbox.drain();
    }

    private static long parseNumber(String text) {
        return Long.parseLong(text, RADIX);
    }

    private void receivePoll(Duration now, String sender, long correlationId, String[] parts) {
        if (!voters.includesSelf() || sender.equals(voters.self())) {
            return;
        }
        long viewNumber = parseNumber(parts[1]);
        List<String> unreachable = new ArrayList<>();
        if (parts.length > 5 && viewNumber == view().number() && parts[2].equals(view().digest())) {
            for (String index : parts[5].substring(1).split("\\.")) {
                unreachable.add(views.memberAt(Integer.parseInt(index, RADIX)));
            }
        }
        CutDetector.MemberReport report = new CutDetector.MemberReport(
                now, correlationId, viewNumber, parseNumber(parts[3]), Integer.parseInt(parts[4]), unreachable);
        cutDetector.recordReport(sender, report, reportValidity());
        long leadingTerm = election.isLeader(now) ? election.term() : 0;
        outbox.addText(
                sender,
                correlationId,
                String.join(
                        "/",
                        POLL_ANSWER,
                        Long.toString(view().number(), RADIX),
                        view().digest(),
                        Long.toString(leadingTerm, RADIX)));
    }

    private void receivePollAnswer(Duration now, String sender, long correlationId, String[] parts) {
        long viewNumber = parseNumber(parts[1]);
        String digest = parts[2];
        long leadingTerm = parseNumber(parts[3]);
        if (!voterResponses.recordAnswer(now, sender, correlationId, viewNumber, digest, view())) {
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
            nextFetchAt = now.plus(settings.quietPeriod().dividedBy(3));
            lastCorrelationId++;
            outbox.addText(
                    sender,
                    lastCorrelationId,
                    String.join("/", FETCH, Long.toString(latest, RADIX), Long.toString(viewNumber, RADIX)));
        }
    }

    private void receiveFetch(String sender, String[] parts) {
        if (views.latestKnown().number() >= parseNumber(parts[2])) {
            outbox.addPayload(sender, views.encodeLatest(parseNumber(parts[1])));
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
