package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.GuardedAction;

/**
 * One backend's part in the {@link WriteOnceRegisters}: acceptor (if the backend is a voter), proposer (while the
 * backend is leader) and learner of single-decree Paxos, with the leader's term as the ballot. The leader collects the
 * accepted values of a majority of the voters and proposes the value of the highest term, or its own value if none was
 * reported. The value is chosen, and the register written, once a majority has accepted the value under one term. A
 * voter answers only after its promise or acceptance is on its disk ({@link #pendingWrite}). Chosen values are
 * announced to all backends, and missed values are repaired by comparing fingerprints in the background. Must be used
 * on the event loop only.
 */
public final class PaxosNode implements WriteOnceRegisters {

    /** Interval between comparisons of chosen values with one other backend. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(500);

    /** State to write to disk; {@code version} has to be passed to {@link #writeCompleted}. */
    public record PendingWrite(long version, byte[] bytes) {}

    private final String self;
    private final Leadership leadership;
    private final FleetView view;
    private final Supplier<List<String>> peers;
    private final SplittableRandom random;
    private final EventLog log;
    private final PaxosAcceptor acceptor;
    private final VoterRecovery recovery;
    private final DurabilityGate gate = new DurabilityGate();
    /** Proposals in progress, by register name. */
    private final Map<String, Proposal> proposals = new TreeMap<>();

    private Duration nextComparison;
    private long malformedMessages;
    private long conflicts;

    /**
     * Creates a node.
     *
     * @param state the last written state, if there is any; a corrupt state counts as lost
     * @param peers the other backends that are reachable now
     * @param log receives a line for each event that an operator may need
     */
    public PaxosNode(
            Duration now,
            String self,
            Optional<byte[]> state,
            Leadership leadership,
            FleetView view,
            Supplier<List<String>> peers,
            SplittableRandom random,
            EventLog log) {
        this.self = self;
        this.leadership = leadership;
        this.view = view;
        this.peers = peers;
        this.random = random;
        this.log = log;
        Optional<PaxosAcceptor> restored = state.flatMap(PaxosAcceptor::decode);
        acceptor = restored.orElseGet(PaxosAcceptor::new);
        recovery = new VoterRecovery(
                now, restored.isPresent() || leadership.voters().size() == 1);
        nextComparison = now;
    }

    private boolean isVoter(String name) {
        return leadership.voters().contains(name);
    }

    private int voterCount() {
        return leadership.voters().size();
    }

    private boolean mayDecide(Duration now) {
        return leadership.isLeader(now)
                && view.permission(now, GuardedAction.DECIDE) == ActionPermissions.Permission.ALLOWED;
    }

    @Override
    public void propose(Duration now, String name, byte[] value) {
        if (!RegisterState.isValidName(name) || value.length > PaxosAcceptor.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "invalid name or value of register " + name + ": " + value.length + " bytes");
        }
        if (mayDecide(now)
                && chosen(name).isEmpty()
                && acceptor.hasRoomFor(name)
                && proposals.size() < PaxosAcceptor.MAX_REGISTERS) {
            proposals.computeIfAbsent(name, missing -> new Proposal(name, value.clone()));
        }
    }

    @Override
    public Optional<byte[]> chosen(String name) {
        return acceptor.get(name).filter(RegisterState::chosen).map(state -> state.value()
                .clone());
    }

    // ---- disk

    /**
     * Returns the state to write now. Empty if the current state is on disk, a write is in progress, or this voter lost
     * its state and has not yet recovered from the other voters.
     */
    public Optional<PendingWrite> pendingWrite() {
        if (isVoter(self) && !recovery.isVoting()) {
            return Optional.empty();
        }
        return gate.beginWrite().stream()
                .mapToObj(version -> new PendingWrite(version, acceptor.encode()))
                .findFirst();
    }

    /** Records that the version is on disk; returns the messages that were held back until then. */
    public List<OutgoingMessage> writeCompleted(Duration now, long version) {
        gate.writeCompleted(version);
        return deliverToSelf(now, gate.release());
    }

    /** Records that the write failed; {@link #pendingWrite} returns the state again. */
    public void writeFailed() {
        gate.writeFailed();
    }

    // ---- time

    /** Has to be called every few tens of milliseconds; returns the messages that are due. */
    public List<OutgoingMessage> tick(Duration now) {
        List<OutgoingMessage> messages = new ArrayList<>();
        if (mayDecide(now)) {
            finishAcceptedRegisters();
            proposals.values().forEach(proposal -> messages.addAll(tickProposal(now, proposal)));
        } else {
            // The next leader completes the proposals in progress.
            proposals.clear();
        }
        if (now.compareTo(nextComparison) >= 0) {
            nextComparison = now.plus(COMPARISON_INTERVAL);
            addComparisonMessages(now, messages);
        }
        return deliverToSelf(now, messages);
    }

    private void finishAcceptedRegisters() {
        for (RegisterState state : acceptor.registers()) {
            if (!state.chosen()) {
                proposals.computeIfAbsent(state.name(), name -> new Proposal(name, state.value()));
            }
        }
    }

    private List<OutgoingMessage> tickProposal(Duration now, Proposal proposal) {
        return proposal.tick(now, leadership.term(), leadership.voters());
    }

    private void addComparisonMessages(Duration now, List<OutgoingMessage> messages) {
        List<String> receivers = peers.get();
        if (!receivers.isEmpty()) {
            String receiver = receivers.get(random.nextInt(receivers.size()));
            messages.add(outgoing(receiver, RegisterMessage.fingerprint(acceptor.chosenFingerprint())));
        }
        if (isVoter(self) && recovery.isQueryDue(now)) {
            leadership.voters().stream()
                    .filter(voter -> !voter.equals(self))
                    .forEach(voter -> messages.add(outgoing(voter, RegisterMessage.pageRequest(now.toMillis(), ""))));
        }
    }

    private static OutgoingMessage outgoing(String receiver, RegisterMessage message) {
        return new OutgoingMessage(receiver, message.encode());
    }

    /** Handles messages to this backend at once; returns the messages to other backends. */
    private List<OutgoingMessage> deliverToSelf(Duration now, List<OutgoingMessage> messages) {
        List<OutgoingMessage> remaining = new ArrayList<>();
        for (OutgoingMessage message : messages) {
            if (message.receiver().equals(self)) {
                remaining.addAll(receive(now, self, message.body()));
            } else {
                remaining.add(message);
            }
        }
        return remaining;
    }

    // ---- messages

    /** Handles a message from another backend; returns the messages that may be sent now. */
    public List<OutgoingMessage> receive(Duration now, String sender, byte[] body) {
        Optional<RegisterMessage> decoded = RegisterMessage.decode(body).filter(RegisterMessage::isComplete);
        if (decoded.isEmpty()) {
            malformedMessages++;
            return List.of();
        }
        RegisterMessage message = decoded.get();
        List<OutgoingMessage> answers =
                switch (message.kind()) {
                    case PREPARE -> answerPrepare(sender, message);
                    case ACCEPT -> answerAccept(sender, message);
                    case PROMISE -> handlePromise(now, sender, message);
                    case ACCEPTED -> handleAccepted(now, sender, message);
                    case CHOSEN -> {
                        learn(message.registers().get(0));
                        yield List.of();
                    }
                    case FINGERPRINT -> message.number() == acceptor.chosenFingerprint()
                            ? List.of()
                            : List.of(outgoing(sender, RegisterMessage.pageRequest(now.toMillis(), "")));
                    case PAGE_REQUEST -> answerPageRequest(sender, message);
                    case PAGE -> handlePage(sender, message);
                        // The leader learns from the election that it lost its leadership.
                    case REJECTED -> List.of();
                };
        return deliverToSelf(now, answers);
    }

    private List<OutgoingMessage> answerPrepare(String sender, RegisterMessage request) {
        if (!isVoter(self) || !recovery.isVoting()) {
            return List.of();
        }
        long promisedBefore = acceptor.promisedTerm();
        if (!acceptor.promise(request.term())) {
            return List.of(outgoing(sender, RegisterMessage.rejected(promisedBefore, request.register())));
        }
        if (acceptor.promisedTerm() != promisedBefore) {
            gate.stateChanged();
        }
        gate.defer(sender, RegisterMessage.promise(request, acceptor.get(request.register())));
        return gate.release();
    }

    private List<OutgoingMessage> answerAccept(String sender, RegisterMessage request) {
        if (!isVoter(self) || !recovery.isVoting()) {
            return List.of();
        }
        String register = request.register();
        long promisedBefore = acceptor.promisedTerm();
        Optional<RegisterState> stateBefore = acceptor.get(register);
        if (!acceptor.accept(
                request.term(), register, request.registers().get(0).value())) {
            return List.of(outgoing(sender, RegisterMessage.rejected(promisedBefore, register)));
        }
        if (acceptor.promisedTerm() != promisedBefore || !acceptor.get(register).equals(stateBefore)) {
            gate.stateChanged();
        }
        gate.defer(sender, RegisterMessage.accepted(request));
        return gate.release();
    }

    private List<OutgoingMessage> answerPageRequest(String sender, RegisterMessage request) {
        List<RegisterState> page = acceptor.page(request.register(), RegisterMessage.MAX_PAGE_BYTES);
        boolean last = page.isEmpty()
                || acceptor.page(page.get(page.size() - 1).name(), RegisterMessage.MAX_PAGE_BYTES)
                        .isEmpty();
        // Deferred until the page's content is on disk: the requester may base its own votes on the content.
        gate.defer(sender, RegisterMessage.page(request, acceptor.promisedTerm(), recovery.isVoting(), last, page));
        return gate.release();
    }

    /**
     * Returns the proposal that an answer belongs to; empty if the proposal has ended or this backend no longer leads
     * under its term.
     */
    private Optional<Proposal> proposalFor(Duration now, String sender, RegisterMessage answer) {
        return Optional.ofNullable(proposals.get(answer.register()))
                .filter(proposal -> answer.term() == proposal.term() && isVoter(sender) && mayDecide(now));
    }

    private List<OutgoingMessage> handlePromise(Duration now, String sender, RegisterMessage answer) {
        Optional<Proposal> preparing = proposalFor(now, sender, answer).filter(Proposal::isPreparing);
        if (preparing.isEmpty()) {
            return List.of();
        }
        Proposal proposal = preparing.get();
        proposal.addPromise(sender, answer.requestedAtMs(), answer.registers());
        answer.registers().stream().filter(RegisterState::chosen).forEach(this::learn);
        if (chosen(answer.register()).isPresent()) {
            proposals.remove(answer.register());
            return List.of();
        }
        return proposal.chooseValueIfPromised(now, voterCount()) ? tickProposal(now, proposal) : List.of();
    }

    private List<OutgoingMessage> handleAccepted(Duration now, String sender, RegisterMessage answer) {
        Optional<Proposal> proposed = proposalFor(now, sender, answer).filter(proposal -> !proposal.isPreparing());
        if (proposed.isEmpty() || !proposed.get().addAcceptance(now, sender, answer.requestedAtMs(), voterCount())) {
            return List.of();
        }
        proposals.remove(answer.register());
        RegisterState state = new RegisterState(
                answer.register(), answer.term(), proposed.get().value(), true);
        learn(state);
        return peers.get().stream()
                .map(peer -> outgoing(peer, RegisterMessage.chosen(answer.term(), state)))
                .toList();
    }

    /** Records the chosen value of a register. */
    private void learn(RegisterState state) {
        Optional<byte[]> known = chosen(state.name());
        if (known.isPresent() && Arrays.equals(known.get(), state.value())) {
            return;
        }
        if (!acceptor.markChosen(state.name(), state.value())) {
            if (conflicts == 0) {
                log.info("register-conflict register=" + state.name() + " action=kept-first-value");
            }
            conflicts++;
            return;
        }
        gate.stateChanged();
        proposals.remove(state.name());
    }

    private List<OutgoingMessage> handlePage(String sender, RegisterMessage page) {
        List<RegisterState> registers = page.registers();
        registers.stream()
                .filter(RegisterState::chosen)
                .filter(state -> chosen(state.name()).isEmpty())
                .forEach(this::learn);
        if (isVoter(self) && isVoter(sender) && recovery.acceptsAnswerTo(page.requestedAtMs())) {
            recover(sender, page);
        }
        if (page.isLastPage() || registers.isEmpty()) {
            return List.of();
        }
        String lastName = registers.get(registers.size() - 1).name();
        return List.of(outgoing(sender, RegisterMessage.pageRequest(page.requestedAtMs(), lastName)));
    }

    private void recover(String sender, RegisterMessage page) {
        acceptor.mergePeerState(page.term(), page.registers());
        gate.stateChanged();
        if (recovery.pageReceived(sender, page, voterCount())) {
            log.info("register-voting-resumed answers=" + recovery.answers() + " voting=" + recovery.votingAnswers()
                    + " other_voters=" + (voterCount() - 1));
        }
    }

    /** Returns the state for operators, as a JSON object. */
    public String statusJson() {
        long written =
                acceptor.registers().stream().filter(RegisterState::chosen).count();
        boolean votes = recovery.isVoting() && isVoter(self);
        return "{\"written\":" + written + ",\"begun\":" + (acceptor.registers().size() - written) + ",\"term\":"
                + acceptor.promisedTerm() + ",\"votes\":" + votes + ",\"conflicts\":" + conflicts + ",\"malformed\":"
                + malformedMessages + "}";
    }
}
