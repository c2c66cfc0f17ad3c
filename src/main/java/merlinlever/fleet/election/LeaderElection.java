package merlinlever.fleet.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import merlinlever.common.log.EventLog;
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

    private static final String VOTE_REQUEST = "V";
    private static final String PROMISE = "P";
    private static final String REJECTION = "N";
    private static final String LEADER_ANNOUNCEMENT = "H";

    /** First parts of the texts that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of(VOTE_REQUEST, PROMISE, REJECTION, LEADER_ANNOUNCEMENT);

    /** A vote that waits for its term to be on disk. */
    private record PendingVote(String candidate, long term, long correlationId) {}

    private final String self;
    private final ElectionState state;
    private final LongPredicate persistTerm;
    private final EventLog log;
    private final List<PeerMessage.Text> outbox = new ArrayList<>();
    /** At most one; a candidate that is not answered asks again. Null for none. */
    private PendingVote pendingVote;
    /** This backend's last request to itself, not yet decided, or null. */
    private ElectionState.PromiseRequest ownRequest;

    private Leader lastLoggedLeader;

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
        if (pendingVote != null && persistTerm.test(pendingVote.term)) {
            PendingVote vote = pendingVote;
            pendingVote = null;
            decideVote(now, vote.candidate, vote.term, vote.correlationId);
        }
        for (ElectionState.PromiseRequest request : state.dueRequests(now)) {
            if (request.voter().equals(self)) {
                ownRequest = request;
            } else {
                send(request.voter(), request.correlationId(), VOTE_REQUEST + "/" + request.term());
            }
        }
        decideOwnVote(now);
        logLeaderChange(now);
        return drainOutbox();
    }

    private void logLeaderChange(Duration now) {
        Leader leader = state.leader(now);
        if (leader == null ? lastLoggedLeader != null : !leader.equals(lastLoggedLeader)) {
            lastLoggedLeader = leader;
            log.line(
                    leader == null
                            ? "leader-unknown"
                            : "leader-changed leader=" + leader.name() + " term=" + leader.term());
        }
    }

    private void send(String recipient, long correlationId, String text) {
        outbox.add(new PeerMessage.Text(recipient, correlationId, text));
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
        if (ownRequest != null && ownRequest.term() == state.ownTerm() && state.isWithinOnePromiseOfMajority(now)) {
            ElectionState.PromiseRequest request = ownRequest;
            ownRequest = null;
            decideVote(now, self, request.term(), request.correlationId());
        }
    }

    private void decideVote(Duration now, String candidate, long term, long correlationId) {
        boolean isOwn = candidate.equals(self);
        if (!state.canPromise(now, candidate, term)) {
            if (!isOwn) {
                send(candidate, correlationId, REJECTION + "/" + state.promisedTerm());
            }
            return;
        }
        if (!persistTerm.test(term)) {
            pendingVote = new PendingVote(candidate, term, correlationId);
            return;
        }
        state.promise(now, candidate, term);
        if (isOwn) {
            state.receivePromise(now, self, term, correlationId);
        } else {
            send(candidate, correlationId, PROMISE + "/" + term);
        }
    }

    /** Takes in a text of a peer, of one of the {@link #MESSAGE_TYPES}, and returns what is to be sent in answer. */
    public List<PeerMessage.Text> receive(Duration now, String sender, long correlationId, String text) {
        String[] parts = text.split("/");
        try {
            switch (parts[0]) {
                case VOTE_REQUEST -> decideVote(now, sender, Long.parseLong(parts[1]), correlationId);
                case PROMISE -> {
                    state.receivePromise(now, sender, Long.parseLong(parts[1]), correlationId);
                    decideOwnVote(now);
                }
                case REJECTION -> state.receiveRejection(Long.parseLong(parts[1]));
                case LEADER_ANNOUNCEMENT -> receiveAnnouncement(now, parts[2], parts[1]);
                default -> throw new IllegalArgumentException("unknown type " + parts[0]);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.line("election-message-rejected sender=" + sender + " text=" + text);
        }
        return drainOutbox();
    }

    private void receiveAnnouncement(Duration now, String leader, String term) {
        // Of itself this backend knows better.
        if (state.voters().contains(leader) && !leader.equals(self)) {
            state.observeLeader(now, leader, Long.parseLong(term));
        }
    }

    /** The text that says who leads, for a peer that took another for the leader; null where that is not known. */
    public String leaderAnnouncement(Duration now) {
        Leader leader = state.leader(now);
        return leader == null ? null : LEADER_ANNOUNCEMENT + "/" + leader.term() + "/" + leader.name();
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
    public Leader leader(Duration now) {
        return state.leader(now);
    }

    @Override
    public List<String> voters() {
        return state.voters();
    }
}
