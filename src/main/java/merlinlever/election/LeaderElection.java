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

    /** First parts of the words that {@link #said} takes. */
    public static final Set<String> WORDS = Set.of("V", "P", "N", "H");

    /** Something to be said to another. */
    public record PeerMessage(String to, long number, String what) {}

    private record PendingVote(String asker, long term, long number) {}

    private final String self;
    private final ElectionState election;
    private final LongPredicate noted;
    private final Consumer<String> log;
    private final List<PeerMessage> out = new ArrayList<>();
    private PendingVote pending;
    private ElectionState.PromiseRequest own;
    private String lastLeader = "";

    /**
     * @param voters who may lead; the same everywhere
     * @param lease of a promise
     * @param drift clocks of two machines run apart by this part at the most
     * @param term the highest that is on the disk
     * @param noted asks for a term on the disk; true once it is there
     */
    public LeaderElection(
            Duration now,
            String self,
            List<String> voters,
            Duration lease,
            double drift,
            long term,
            LongPredicate noted,
            SplittableRandom chance,
            Consumer<String> log) {
        this.self = self;
        this.noted = noted;
        this.log = log;
        election = new ElectionState(now, self, voters, lease, drift, term, chance);
    }

    /** What is to be said now; to be asked for every few ms. */
    public List<PeerMessage> look(Duration now) {
        if (pending != null && noted.test(pending.term)) {
            PendingVote is = pending;
            pending = null;
            vote(now, is.asker, is.term, is.number);
        }
        for (ElectionState.PromiseRequest ask : election.settle(now)) {
            if (ask.to().equals(self)) {
                own = ask;
            } else {
                out.add(new PeerMessage(ask.to(), ask.number(), "V/" + ask.term()));
            }
        }
        own(now);
        Leader leader = election.leader(now);
        String told = leader == null ? "" : leader.name() + ", term " + leader.term();
        if (!told.equals(lastLeader)) {
            lastLeader = told;
            log.accept(told.isEmpty() ? "terms: nobody is known to lead" : "terms: led by " + told);
        }
        return said();
    }

    private List<PeerMessage> said() {
        List<PeerMessage> all = List.copyOf(out);
        out.clear();
        return all;
    }

    /**
     * It promises itself last, when its promise makes more than half. A candidate that nobody hears would else go on to terms of
     * its own, and could promise nothing to whoever leads when it is heard again (what Raft's pre-vote is for, Ongaro 2014).
     */
    private void own(Duration now) {
        if (own != null && own.term() == election.term() && election.oneShort(now)) {
            ElectionState.PromiseRequest is = own;
            own = null;
            vote(now, self, is.term(), is.number());
        }
    }

    private void vote(Duration now, String asker, long term, long number) {
        if (!election.mayPromise(now, asker, term)) {
            if (!asker.equals(self)) {
                out.add(new PeerMessage(asker, number, "N/" + election.promised()));
            }
            return;
        }
        if (!noted.test(term)) {
            // One at a time; whoever is not answered asks again.
            pending = new PendingVote(asker, term, number);
            return;
        }
        election.promise(now, asker, term);
        if (asker.equals(self)) {
            election.promisedBy(now, self, term, number);
        } else {
            out.add(new PeerMessage(asker, number, "P/" + term));
        }
    }

    /** Another said that, one of {@link #WORDS}; returns what is said to it. */
    public List<PeerMessage> said(Duration now, String name, long number, String what) {
        String[] part = what.split("/");
        try {
            switch (part[0]) {
                case "V" -> vote(now, name, Long.parseLong(part[1]), number);
                case "P" -> {
                    election.promisedBy(now, name, Long.parseLong(part[1]), number);
                    own(now);
                }
                case "N" -> election.refused(now, Long.parseLong(part[1]));
                case "H" -> {
                    // Of itself it knows better.
                    if (election.voters().contains(part[2]) && !part[2].equals(self)) {
                        election.heardLeader(now, part[2], Long.parseLong(part[1]));
                    }
                }
                default -> log.accept("terms: " + name + " said what is not understood: " + what);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept("terms: " + name + " said what is not understood: " + what);
        }
        return said();
    }

    /** The word that says who leads to one that asked the wrong one, or null where that is not known. */
    public String toldWho(Duration now) {
        Leader leader = election.leader(now);
        return leader == null ? null : "H/" + leader.term() + "/" + leader.name();
    }

    /** That one spoke as the leader of the term. */
    public void heardLeader(Duration now, String name, long term) {
        election.heardLeader(now, name, term);
    }

    @Override
    public boolean leads(Duration now) {
        return election.leads(now);
    }

    @Override
    public long term() {
        return election.term();
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
