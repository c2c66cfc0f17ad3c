package merlinlever.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * One backend's part in who leads: votes and may lead where it is a voter, knows who does otherwise. One of it serves all that
 * ask for a leader: budgets, views, registers, trials. What it says to itself does not leave the process. Decisions alone.
 *
 * <p>Words, each with its number: {@code V/term} asks for a promise, {@code P/term} gives it, {@code N/term} names a higher
 * one, {@code H/term/leader} says who leads.
 */
public final class LeaderElection implements Leadership {

    /** First parts of the words that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of("V", "P", "N", "H");

    /** Something to be said to another. */
    public record PeerMessage(String recipient, long correlationId, String text) {}

    private record PendingVote(String candidate, long term, long correlationId) {}

    private final String self;
    private final ElectionState election;
    private final LongPredicate persistTerm;
    private final Consumer<String> log;
    private final List<PeerMessage> outbox = new ArrayList<>();
    private PendingVote pendingVote;
    private ElectionState.PromiseRequest ownRequest;
    private String lastLoggedLeader = "";

    /**
     * @param voters who may lead; the same everywhere
     * @param lease of a promise
     * @param drift clocks of two machines run apart by this part at the most
     * @param term the highest that is on the disk
     * @param persistTerm asks for a term on the disk; true once it is there
     */
    public LeaderElection(
            Duration now,
            String self,
            List<String> voters,
            Duration lease,
            double drift,
            long term,
            LongPredicate persistTerm,
            SplittableRandom chance,
            Consumer<String> log) {
        this.self = self;
        this.persistTerm = persistTerm;
        this.log = log;
        election = new ElectionState(now, self, voters, lease, drift, term, chance);
    }

    /** What is to be said now; to be asked for every few ms. */
    public List<PeerMessage> tick(Duration now) {
        if (pendingVote != null && persistTerm.test(pendingVote.term)) {
            PendingVote is = pendingVote;
            pendingVote = null;
            handleVoteRequest(now, is.candidate, is.term, is.correlationId);
        }
        for (ElectionState.PromiseRequest ask : election.dueRequests(now)) {
            if (ask.voter().equals(self)) {
                ownRequest = ask;
            } else {
                outbox.add(new PeerMessage(ask.voter(), ask.correlationId(), "V/" + ask.term()));
            }
        }
        castOwnVote(now);
        Leader leader = election.leader(now);
        String told = leader == null ? "" : leader.name() + ", term " + leader.term();
        if (!told.equals(lastLoggedLeader)) {
            lastLoggedLeader = told;
            log.accept(told.isEmpty() ? "terms: nobody is known to lead" : "terms: led by " + told);
        }
        return receive();
    }

    private List<PeerMessage> receive() {
        List<PeerMessage> all = List.copyOf(outbox);
        outbox.clear();
        return all;
    }

    /**
     * It promises itself last, when its promise makes more than half. A candidate that nobody hears would else go on to terms of
     * its own, and could promise nothing to whoever leads when it is heard again (what Raft's pre-vote is for, Ongaro 2014).
     */
    private void castOwnVote(Duration now) {
        if (ownRequest != null && ownRequest.term() == election.ownTerm() && election.isWithinOnePromiseOfMajority(now)) {
            ElectionState.PromiseRequest is = ownRequest;
            ownRequest = null;
            handleVoteRequest(now, self, is.term(), is.correlationId());
        }
    }

    private void handleVoteRequest(Duration now, String asker, long term, long number) {
        if (!election.canPromise(now, asker, term)) {
            if (!asker.equals(self)) {
                outbox.add(new PeerMessage(asker, number, "N/" + election.promisedTerm()));
            }
            return;
        }
        if (!persistTerm.test(term)) {
            // One at a time; whoever is not answered asks again.
            pendingVote = new PendingVote(asker, term, number);
            return;
        }
        election.promise(now, asker, term);
        if (asker.equals(self)) {
            election.receivePromise(now, self, term, number);
        } else {
            outbox.add(new PeerMessage(asker, number, "P/" + term));
        }
    }

    /** Another said that, one of {@link #MESSAGE_TYPES}; returns what is said to it. */
    public List<PeerMessage> receive(Duration now, String name, long number, String what) {
        String[] part = what.split("/");
        try {
            switch (part[0]) {
                case "V" -> handleVoteRequest(now, name, Long.parseLong(part[1]), number);
                case "P" -> {
                    election.receivePromise(now, name, Long.parseLong(part[1]), number);
                    castOwnVote(now);
                }
                case "N" -> election.receiveRejection(now, Long.parseLong(part[1]));
                case "H" -> {
                    // Of itself it knows better.
                    if (election.voters().contains(part[2]) && !part[2].equals(self)) {
                        election.observeLeader(now, part[2], Long.parseLong(part[1]));
                    }
                }
                default -> log.accept("terms: " + name + " said what is not understood: " + what);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept("terms: " + name + " said what is not understood: " + what);
        }
        return receive();
    }

    /** The word that says who leads to one that asked the wrong one, or null where that is not known. */
    public String leaderAnnouncement(Duration now) {
        Leader leader = election.leader(now);
        return leader == null ? null : "H/" + leader.term() + "/" + leader.name();
    }

    /** That one spoke as the leader of the term. */
    public void observeLeader(Duration now, String name, long term) {
        election.observeLeader(now, name, term);
    }

    @Override
    public boolean isLeader(Duration now) {
        return election.isLeader(now);
    }

    @Override
    public long term() {
        return election.ownTerm();
    }

    @Override
    public Leader leader(Duration now) {
        return election.leader(now);
    }

    @Override
    public List<String> voters() {
        return election.voters();
    }
}
