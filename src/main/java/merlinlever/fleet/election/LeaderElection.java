package merlinlever.fleet.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import merlinlever.fleet.membership.PeerMessage;

/**
 * One backend's part in leader election: votes and may lead where it is a voter, otherwise learns who leads. One of it serves all
 * parts of the process that need a leader: quotas, views, registers, experiments. Times are since the process began. Not
 * thread-safe.
 *
 * <p>Texts, each with a correlation id: {@code V/term} requests a promise, {@code P/term} gives it, {@code N/term} rejects it and
 * names a higher term, {@code H/term/leader} says who leads. The request of a candidate to itself does not leave the process.
 */
public final class LeaderElection implements Leadership {

    /** First parts of the texts that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of(
            ElectionMessage.VoteRequest.TYPE,
            ElectionMessage.Promise.TYPE,
            ElectionMessage.Rejection.TYPE,
            ElectionMessage.LeaderAnnouncement.TYPE);

    /** A vote that waits for its term to be on disk. */
    private record PendingVote(String candidate, long term, long correlationId) {}

    private final String self;
    private final ElectionState state;
    private final LongPredicate persistTerm;
    private final EventLog log;
    private final List<PeerMessage.Text> outbox = new ArrayList<>();
    /** At most one; a candidate that is not answered asks again. */
    private Optional<PendingVote> pendingVote = Optional.empty();
    /** This backend's last request to itself, while it is not yet decided. */
    private Optional<ElectionState.PromiseRequest> ownRequest = Optional.empty();

    private Optional<Leader> lastLoggedLeader = Optional.empty();

    /**
     * An election in which nobody is known to lead yet.
     *
     * @param persistedTerm the highest term that is on this backend's disk
     * @param persistTerm requests that a term be written to disk; true once it is there
     * @param log takes one line whenever another leader becomes known
     */
    public LeaderElection(
            Duration now,
            String self,
            ElectionSettings settings,
            long persistedTerm,
            LongPredicate persistTerm,
            SplittableRandom random,
            EventLog log) {
        this.self = self;
        this.persistTerm = persistTerm;
        this.log = log;
        state = new ElectionState(now, self, settings, persistedTerm, random);
    }

    /** Does what is due, and returns what is to be sent; to be called every few milliseconds. */
    public List<PeerMessage.Text> tick(Duration now) {
        if (pendingVote.isPresent() && persistTerm.test(pendingVote.get().term)) {
            PendingVote vote = pendingVote.get();
            pendingVote = Optional.empty();
            decideVote(now, vote.candidate, vote.term, vote.correlationId);
        }
        for (ElectionState.PromiseRequest request : state.dueRequests(now)) {
            if (request.voter().equals(self)) {
                ownRequest = Optional.of(request);
            } else {
                ElectionMessage voteRequest = new ElectionMessage.VoteRequest(request.term());
                send(request.voter(), request.correlationId(), voteRequest);
            }
        }
        decideOwnVote(now);
        logLeaderChange(now);
        return drainOutbox();
    }

    private void logLeaderChange(Duration now) {
        Optional<Leader> leader = state.leader(now);
        if (!leader.equals(lastLoggedLeader)) {
            lastLoggedLeader = leader;
            log.write(leader.map(LeaderElection::leaderChanged).orElse(LogEvent.info("leader-unknown")));
        }
    }

    private static LogEvent leaderChanged(Leader leader) {
        return LogEvent.info("leader-changed").with("leader", leader.name()).with("term", leader.term());
    }

    private void send(String recipient, long correlationId, ElectionMessage message) {
        outbox.add(new PeerMessage.Text(recipient, correlationId, message.encode()));
    }

    private List<PeerMessage.Text> drainOutbox() {
        List<PeerMessage.Text> drained = List.copyOf(outbox);
        outbox.clear();
        return drained;
    }

    /**
     * A candidate promises itself last, when its own promise completes the majority. One that is cut off would else go on to new
     * terms of its own, and could promise nothing to the leader when it is connected again (the purpose of Raft's pre-vote,
     * Ongaro 2014).
     */
    private void decideOwnVote(Duration now) {
        boolean isCurrent =
                ownRequest.filter(request -> request.term() == state.ownTerm()).isPresent();
        if (isCurrent && state.isWithinOnePromiseOfMajority(now)) {
            ElectionState.PromiseRequest request = ownRequest.get();
            ownRequest = Optional.empty();
            decideVote(now, self, request.term(), request.correlationId());
        }
    }

    private void decideVote(Duration now, String candidate, long term, long correlationId) {
        boolean isOwn = candidate.equals(self);
        if (!state.canPromise(now, candidate, term)) {
            if (!isOwn) {
                send(candidate, correlationId, new ElectionMessage.Rejection(state.promisedTerm()));
            }
            return;
        }
        if (!persistTerm.test(term)) {
            pendingVote = Optional.of(new PendingVote(candidate, term, correlationId));
            return;
        }
        state.promise(now, candidate, term);
        if (isOwn) {
            state.receivePromise(now, self, term, correlationId);
        } else {
            send(candidate, correlationId, new ElectionMessage.Promise(term));
        }
    }

    /** Takes in a text of a peer, of one of the {@link #MESSAGE_TYPES}, and returns what is to be sent in answer. */
    public List<PeerMessage.Text> receive(Duration now, String sender, long correlationId, String text) {
        try {
            ElectionMessage.Received message = new ElectionMessage.Received(text);
            switch (message.type()) {
                case ElectionMessage.VoteRequest.TYPE -> decideVote(now, sender, message.term(), correlationId);
                case ElectionMessage.Promise.TYPE -> {
                    state.receivePromise(now, sender, message.term(), correlationId);
                    decideOwnVote(now);
                }
                case ElectionMessage.Rejection.TYPE -> state.receiveRejection(message.term());
                case ElectionMessage.LeaderAnnouncement.TYPE -> receiveAnnouncement(now, message);
                default -> throw new IllegalArgumentException("unknown type " + message.type());
            }
        } catch (IllegalArgumentException e) {
            log.write(LogEvent.info("election-message-rejected")
                    .with("sender", sender)
                    .with("text", text));
        }
        return drainOutbox();
    }

    private void receiveAnnouncement(Duration now, ElectionMessage.Received message) {
        String leader = message.leader();
        // Of itself this backend knows better.
        if (state.voters().contains(leader) && !leader.equals(self)) {
            state.observeLeader(now, leader, message.term());
        }
    }

    /** The text that says who leads, for a peer that took another for the leader; empty where that is not known. */
    public Optional<String> leaderAnnouncement(Duration now) {
        return state.leader(now)
                .map(leader -> new ElectionMessage.LeaderAnnouncement(leader.term(), leader.name()).encode());
    }

    /** A peer acted as the leader of that term. */
    public void observeLeader(Duration now, String leader, long term) {
        state.observeLeader(now, leader, term);
    }

    @Override
    public boolean isLeader(Duration now) {
        return state.isLeader(now);
    }

    @Override
    public long term() {
        return state.ownTerm();
    }

    @Override
    public Optional<Leader> leader(Duration now) {
        return state.leader(now);
    }

    @Override
    public List<String> voters() {
        return state.voters();
    }
}
