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
 * Participant of leader election on one backend. A voter votes and may become leader; any other backend only learns who
 * the leader is. The process has one instance, which quotas, views, registers and experiments share. Times are measured
 * from the start of the process. Not thread-safe.
 *
 * <p>Messages, each with a correlation id: {@code V/term} requests a promise, {@code P/term} gives the promise,
 * {@code N/term} rejects the request and reports a higher term, {@code H/term/leader} announces the leader. A
 * candidate's request to itself does not leave the process.
 */
public final class LeaderElection implements Leadership {

    /** Types of the messages that {@link #receive} accepts. */
    public static final Set<String> MESSAGE_TYPES = Set.of(
            ElectionMessage.VoteRequest.TYPE,
            ElectionMessage.Promise.TYPE,
            ElectionMessage.Rejection.TYPE,
            ElectionMessage.LeaderAnnouncement.TYPE);

    /** A vote that is delayed until its term is persisted. */
    private record PendingVote(String candidate, long term, long correlationId) {}

    private final String self;
    private final ElectionState state;
    private final LongPredicate persistTerm;
    private final EventLog log;
    private final List<PeerMessage.Text> outbox = new ArrayList<>();
    /** Only the latest vote is kept; a candidate without a reply repeats its request. */
    private Optional<PendingVote> pendingVote = Optional.empty();
    /** This backend's latest vote request to itself, until it is decided. */
    private Optional<ElectionState.PromiseRequest> ownVoteRequest = Optional.empty();

    private Optional<Leader> lastLoggedLeader = Optional.empty();

    /**
     * Creates the participant, without a known leader.
     *
     * @param persistedTerm the highest term that this backend has persisted
     * @param persistTerm starts to persist a term; returns whether the term is persisted already
     * @param log receives one event for each change of the known leader
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

    /** Performs the due work and returns the messages to send. Has to be called every few milliseconds. */
    public List<PeerMessage.Text> tick(Duration now) {
        if (pendingVote.isPresent() && persistTerm.test(pendingVote.get().term)) {
            PendingVote vote = pendingVote.get();
            pendingVote = Optional.empty();
            decideVote(now, vote.candidate, vote.term, vote.correlationId);
        }
        for (ElectionState.PromiseRequest request : state.dueRequests(now)) {
            if (request.voter().equals(self)) {
                ownVoteRequest = Optional.of(request);
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
        List<PeerMessage.Text> messages = List.copyOf(outbox);
        outbox.clear();
        return messages;
    }

    /**
     * Decides this backend's own vote once the own promise would complete the majority. Otherwise a partitioned voter
     * would persist ever higher terms and could not vote for the leader after the partition heals. Raft's pre-vote has
     * the same purpose (Ongaro 2014).
     */
    private void decideOwnVote(Duration now) {
        boolean isCurrent = ownVoteRequest
                .filter(request -> request.term() == state.ownTerm())
                .isPresent();
        if (isCurrent && state.isWithinOnePromiseOfMajority(now)) {
            ElectionState.PromiseRequest request = ownVoteRequest.get();
            ownVoteRequest = Optional.empty();
            decideVote(now, self, request.term(), request.correlationId());
        }
    }

    private void decideVote(Duration now, String candidate, long term, long correlationId) {
        boolean isSelf = candidate.equals(self);
        if (!state.canPromise(now, candidate, term)) {
            if (!isSelf) {
                send(candidate, correlationId, new ElectionMessage.Rejection(state.promisedTerm()));
            }
            return;
        }
        if (!persistTerm.test(term)) {
            pendingVote = Optional.of(new PendingVote(candidate, term, correlationId));
            return;
        }
        state.promise(now, candidate, term);
        if (isSelf) {
            state.receivePromise(now, self, term, correlationId);
        } else {
            send(candidate, correlationId, new ElectionMessage.Promise(term));
        }
    }

    /** Processes a peer's message, whose type is one of {@link #MESSAGE_TYPES}, and returns the messages to send. */
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
        // A peer's announcement of this backend as the leader may be outdated.
        if (state.voters().contains(leader) && !leader.equals(self)) {
            state.observeLeader(now, leader, message.term());
        }
    }

    /**
     * Returns an announcement of the current leader as text, for a peer with outdated information; empty if unknown.
     */
    public Optional<String> leaderAnnouncement(Duration now) {
        return state.leader(now)
                .map(leader -> new ElectionMessage.LeaderAnnouncement(leader.term(), leader.name()).encode());
    }

    /** Records that a peer acted as the leader of the term. */
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
