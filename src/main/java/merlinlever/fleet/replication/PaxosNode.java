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
 * One backend's part in the {@link WriteOnceRegisters}: voter, leader and learner of single-decree Paxos, with the leader's term as the
 * ballot. The leader asks a majority of the voters what they have accepted, and proposes the value of the highest term reported, or its
 * own; the register is written once a majority has accepted that under one term. A voter answers only when what it promised or accepted is
 * on its disk ({@link #pendingWrite}). Whatever is written is announced to all, and compared in the background. Event loop only.
 */
public final class PaxosNode implements WriteOnceRegisters {

    /** How often one other backend is compared with. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(500);

    /** State to be written to the disk; {@code version} is for {@link #writeCompleted}. */
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
    /** By the names of their registers. */
    private final Map<String, Proposal> proposals = new TreeMap<>();

    private Duration nextComparison;
    private long malformedMessages;
    private long conflicts;

    /**
     * Creates a node.
     *
     * @param state the bytes that were written last, if there are any; corrupt ones count as lost
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
            throw new IllegalArgumentException("register " + name + " of " + value.length + " bytes");
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

    // ---- the disk

    /**
     * What has to be written now. Nothing if all of it is on the disk, a write is in progress, or this voter has lost its state and not yet
     * been told by the others.
     */
    public Optional<PendingWrite> pendingWrite() {
        if (isVoter(self) && !recovery.isVoting()) {
            return Optional.empty();
        }
        return gate.beginWrite().stream()
                .mapToObj(version -> new PendingWrite(version, acceptor.encode()))
                .findFirst();
    }

    /** That version is on the disk; returns the messages that waited for it. */
    public List<OutgoingMessage> writeCompleted(Duration now, long version) {
        gate.writeCompleted(version);
        return deliverOwn(now, gate.release());
    }

    /** The write failed; {@link #pendingWrite} returns it again. */
    public void writeFailed() {
        gate.writeFailed();
    }

    // ---- time

    /** Is called every few ten milliseconds; returns the messages that are due. */
    public List<OutgoingMessage> tick(Duration now) {
        List<OutgoingMessage> messages = new ArrayList<>();
        if (mayDecide(now)) {
            finishAcceptedRegisters();
            proposals.values().forEach(proposal -> messages.addAll(tickProposal(now, proposal)));
        } else {
            // The next leader finishes what was begun.
            proposals.clear();
        }
        if (now.compareTo(nextComparison) >= 0) {
            nextComparison = now.plus(COMPARISON_INTERVAL);
            compare(now, messages);
        }
        return deliverOwn(now, messages);
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

    private void compare(Duration now, List<OutgoingMessage> messages) {
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

    /** Handles messages to this backend itself at once; returns the others. */
    private List<OutgoingMessage> deliverOwn(Duration now, List<OutgoingMessage> messages) {
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

    /** Handles a message from another backend; returns the answers that may leave now. */
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
                        // The leader sees in the election that it was deposed.
                    case REJECTED -> List.of();
                };
        return deliverOwn(now, answers);
    }

    private List<OutgoingMessage> answerPrepare(String sender, RegisterMessage question) {
        if (!isVoter(self) || !recovery.isVoting()) {
            return List.of();
        }
        long promisedBefore = acceptor.promisedTerm();
        if (!acceptor.promise(question.term())) {
            return List.of(outgoing(sender, RegisterMessage.rejected(promisedBefore, question.register())));
        }
        if (acceptor.promisedTerm() != promisedBefore) {
            gate.stateChanged();
        }
        gate.defer(sender, RegisterMessage.promise(question, acceptor.get(question.register())));
        return gate.release();
    }

    private List<OutgoingMessage> answerAccept(String sender, RegisterMessage question) {
        if (!isVoter(self) || !recovery.isVoting()) {
            return List.of();
        }
        String register = question.register();
        long promisedBefore = acceptor.promisedTerm();
        Optional<RegisterState> stateBefore = acceptor.get(register);
        if (!acceptor.accept(
                question.term(), register, question.registers().get(0).value())) {
            return List.of(outgoing(sender, RegisterMessage.rejected(promisedBefore, register)));
        }
        if (acceptor.promisedTerm() != promisedBefore || !acceptor.get(register).equals(stateBefore)) {
            gate.stateChanged();
        }
        gate.defer(sender, RegisterMessage.accepted(question));
        return gate.release();
    }

    private List<OutgoingMessage> answerPageRequest(String sender, RegisterMessage question) {
        List<RegisterState> page = acceptor.page(question.register(), RegisterMessage.MAX_PAGE_BYTES);
        boolean last = page.isEmpty()
                || acceptor.page(page.get(page.size() - 1).name(), RegisterMessage.MAX_PAGE_BYTES)
                        .isEmpty();
        // Only what is on the disk: the asker may base its own votes on it.
        gate.defer(sender, RegisterMessage.page(question, acceptor.promisedTerm(), recovery.isVoting(), last, page));
        return gate.release();
    }

    /** The proposal that an answer belongs to, unless it is over or this backend no longer leads under that term. */
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
        proposal.addPromise(sender, answer.askedAtMs(), answer.registers());
        answer.registers().stream().filter(RegisterState::chosen).forEach(this::learn);
        if (chosen(answer.register()).isPresent()) {
            proposals.remove(answer.register());
            return List.of();
        }
        return proposal.chooseValueIfPromised(now, voterCount()) ? tickProposal(now, proposal) : List.of();
    }

    private List<OutgoingMessage> handleAccepted(Duration now, String sender, RegisterMessage answer) {
        Optional<Proposal> proposed = proposalFor(now, sender, answer).filter(proposal -> !proposal.isPreparing());
        if (proposed.isEmpty() || !proposed.get().addAcceptance(now, sender, answer.askedAtMs(), voterCount())) {
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

    /** Records that a register is written. */
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
        if (isVoter(self) && isVoter(sender) && recovery.isWaitingFor(page.askedAtMs())) {
            recover(sender, page);
        }
        if (page.isLastPage() || registers.isEmpty()) {
            return List.of();
        }
        String lastName = registers.get(registers.size() - 1).name();
        return List.of(outgoing(sender, RegisterMessage.pageRequest(page.askedAtMs(), lastName)));
    }

    private void recover(String sender, RegisterMessage page) {
        acceptor.mergePeerState(page.term(), page.registers());
        gate.stateChanged();
        if (recovery.pageReceived(sender, page, voterCount())) {
            log.info("register-voting-resumed answers=" + recovery.answers() + " voting=" + recovery.votingAnswers()
                    + " other_voters=" + (voterCount() - 1));
        }
    }

    /** The state for operators, as a JSON object. */
    public String statusJson() {
        long written =
                acceptor.registers().stream().filter(RegisterState::chosen).count();
        boolean votes = recovery.isVoting() && isVoter(self);
        return "{\"written\":" + written + ",\"begun\":" + (acceptor.registers().size() - written) + ",\"term\":"
                + acceptor.promisedTerm() + ",\"votes\":" + votes + ",\"conflicts\":" + conflicts + ",\"malformed\":"
                + malformedMessages + "}";
    }
}
