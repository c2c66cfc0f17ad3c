package merlinlever.budgets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * One backend's part in the division of all budgets: votes and may lead where it is a voter, asks whoever leads for its
 * shares, and tells the spender what it may spend until when. What it says to itself does not leave the process. Decisions alone.
 *
 * <p>Words, each with its number: {@code V/term} asks for a promise, {@code P/term} gives it, {@code N/term} names a higher
 * one; {@code Q/term/budget/life/grant/held/inUse/wanted} asks for a share, {@code G/term/budget/grant/amount} grants it,
 * {@code H/term/leader} says who leads.
 */
public final class Sharing {

    /** Who spends; times are since the process began. */
    public interface Spender {
        /** What is in use of the budget now, and what would be used if there were more. */
        long[] demand(Duration now, Budget budget);

        /** It may use so much until then. */
        void share(Budget budget, long share, Duration until);
    }

    /** Beyond what is used, so much of it is asked for as well, and one: or nobody who has little could show that it wants more. */
    private static final int MORE = 4;

    /** Something to be said to another. */
    public record Say(String to, long number, String what) {
    }

    private record Pending(String asker, long term, long number) {
    }

    private final LongPredicate noted;
    private final String self;
    private final long life;
    private final List<Budget> budgets;
    private final List<Holding> holdings = new ArrayList<>();
    private final Duration[] nextAsk;
    private final boolean[] used;
    private final List<Book> books = new ArrayList<>();
    private final Election election;
    private final SplittableRandom chance;
    private final Spender spender;
    private final Consumer<String> log;
    private long bookTerm = -1;
    private Duration nextTurn = Duration.ZERO;
    private final List<Say> out = new ArrayList<>();
    private Pending pending;
    private String lastLeader = "";

    /**
     * @param life a number that no other life of this backend has
     * @param voters who may lead; the same everywhere
     * @param term the highest that is on the disk
     * @param noted asks for a term on the disk; true once it is there
     */
    public Sharing(Duration now, String self, long life, List<Budget> budgets, List<String> voters, long term, LongPredicate noted,
            SplittableRandom chance, Spender spender, Consumer<String> log) {
        this.self = self;
        this.life = life;
        this.budgets = new ArrayList<>(budgets);
        this.noted = noted;
        this.chance = chance;
        this.spender = spender;
        this.log = log;
        election = new Election(now, self, voters, budgets.get(0).lease(), budgets.get(0).drift(), term, chance.split());
        nextAsk = new Duration[budgets.size()];
        used = new boolean[budgets.size()];
        for (int i = 0; i < nextAsk.length; i++) {
            holdings.add(new Holding(budgets.get(i), life));
            nextAsk[i] = now;
        }
    }

    /** The wholes were changed; a share over a smaller one is given back as the leases run out. */
    public void wholes(List<Budget> changed) {
        for (int i = 0; i < budgets.size(); i++) {
            for (Budget each : changed) {
                if (each.name().equals(budgets.get(i).name())) {
                    budgets.set(i, each);
                    holdings.get(i).whole(each);
                    if (!books.isEmpty()) {
                        books.get(i).whole(each);
                    }
                }
            }
        }
    }

    // ---- a look at all

    /** What is to be said now; to be asked for every few ms. */
    public List<Say> look(Duration now) {
        if (pending != null && noted.test(pending.term)) {
            Pending is = pending;
            pending = null;
            vote(now, is.asker, is.term, is.number);
        }
        for (Election.Ask ask : election.settle(now)) {
            if (ask.to().equals(self)) {
                vote(now, self, ask.term(), ask.number());
            } else {
                say(ask.to(), ask.number(), "V/" + ask.term());
            }
        }
        Election.Leader leader = election.leader(now);
        String told = leader == null ? "" : leader.name() + ", term " + leader.term();
        if (!told.equals(lastLeader)) {
            lastLeader = told;
            log.accept(told.isEmpty() ? "budgets: nobody is known to divide" : "budgets: divided by " + told);
        }
        books(now);
        for (int i = 0; i < budgets.size(); i++) {
            Holding holding = holdings.get(i);
            long[] demand = spender.demand(now, budgets.get(i));
            used[i] |= demand[1] > 0;
            // One that is out of share and wants some does not wait for its turn as long.
            boolean wants = demand[1] > holding.share(now);
            if (now.compareTo(nextAsk[i]) >= 0 || wants && now.compareTo(nextAsk[i].minus(pause(i).multipliedBy(3).dividedBy(4))) >= 0) {
                nextAsk[i] = now.plus(pause(i)).plus(Duration.ofNanos(chance.nextLong(pause(i).dividedBy(4).toNanos() + 1)));
                ask(now, i, leader, demand);
            }
            spender.share(budgets.get(i), holding.share(now), holding.until());
        }
        return said();
    }

    private void say(String to, long number, String what) {
        out.add(new Say(to, number, what));
    }

    private List<Say> said() {
        List<Say> all = List.copyOf(out);
        out.clear();
        return all;
    }

    private Duration pause(int i) {
        return budgets.get(i).lease().dividedBy(4);
    }

    private void ask(Duration now, int i, Election.Leader leader, long[] demand) {
        if (leader == null) {
            // Any voter may know who leads.
            String voter = election.voters().get(chance.nextInt(election.voters().size()));
            if (!voter.equals(self)) {
                say(voter, 0, "Q/0/" + budgets.get(i).name() + "/" + Long.toHexString(life) + "/0/0/0/0");
            }
            return;
        }
        long wanted = demand[1] == 0 && !used[i] ? 0 : demand[1] + demand[1] / MORE + 1;
        Holding.Ask ask = holdings.get(i).ask(now, leader.term(), demand[0], Math.min(wanted, budgets.get(i).whole()));
        used[i] = false;
        if (ask == null) {
            return;
        }
        if (leader.name().equals(self)) {
            Book.Grant grant = books.isEmpty() ? null : books.get(i).grant(now, new Book.Request(self, life, ask.grant(), ask.held(), ask.inUse(), ask.wanted()));
            if (grant != null) {
                holdings.get(i).granted(now, leader.term(), ask.number(), grant.number(), grant.amount());
            }
        } else {
            say(leader.name(), ask.number(), "Q/" + leader.term() + "/" + budgets.get(i).name() + "/" + Long.toHexString(life) + "/"
                    + ask.grant() + "/" + ask.held() + "/" + ask.inUse() + "/" + ask.wanted());
        }
    }

    /** A leadership begins with books that know nothing of the one before. */
    private void books(Duration now) {
        if (!election.leads(now)) {
            books.clear();
            bookTerm = -1;
            return;
        }
        if (bookTerm != election.term()) {
            bookTerm = election.term();
            books.clear();
            budgets.forEach(budget -> books.add(new Book(now, budget)));
            log.accept("budgets: leads, term " + bookTerm);
        }
        if (now.compareTo(nextTurn) >= 0) {
            nextTurn = now.plus(budgets.isEmpty() ? Duration.ofSeconds(1) : budgets.get(0).lease());
            books.forEach(Book::turn);
        }
    }

    // ---- what others say

    private void vote(Duration now, String asker, long term, long number) {
        if (!election.mayPromise(now, asker, term)) {
            if (!asker.equals(self)) {
                say(asker, number, "N/" + election.promised());
            }
            return;
        }
        if (!noted.test(term)) {
            // One at a time; whoever is not answered asks again.
            pending = new Pending(asker, term, number);
            return;
        }
        election.promise(now, asker, term);
        if (asker.equals(self)) {
            election.promisedBy(now, self, term, number);
        } else {
            say(asker, number, "P/" + term);
        }
    }

    /** Another said that; returns what is said to it. */
    public List<Say> said(Duration now, String name, long number, String what) {
        String[] part = what.split("/");
        try {
            switch (part[0]) {
                case "V" -> vote(now, name, Long.parseLong(part[1]), number);
                case "P" -> election.promisedBy(now, name, Long.parseLong(part[1]), number);
                case "N" -> election.refused(now, Long.parseLong(part[1]));
                case "H" -> {
                    if (election.voters().contains(part[2])) {
                        election.heardLeader(now, part[2], Long.parseLong(part[1]));
                    }
                }
                case "Q" -> asked(now, name, number, part);
                case "G" -> {
                    int i = index(part[2]);
                    long term = Long.parseLong(part[1]);
                    if (i >= 0 && holdings.get(i).granted(now, term, number, Long.parseLong(part[3]), Long.parseLong(part[4]))) {
                        election.heardLeader(now, name, term);
                    }
                }
                default -> log.accept("budgets: " + name + " said what is not understood: " + what);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept("budgets: " + name + " said what is not understood: " + what);
        }
        return said();
    }

    private int index(String budget) {
        for (int i = 0; i < budgets.size(); i++) {
            if (budgets.get(i).name().equals(budget)) {
                return i;
            }
        }
        return -1;
    }

    private void asked(Duration now, String name, long number, String[] part) {
        Election.Leader leader = election.leader(now);
        books(now);
        if (leader == null || books.isEmpty() || Long.parseLong(part[1]) != bookTerm) {
            if (leader != null) {
                say(name, 0, "H/" + leader.term() + "/" + leader.name());
            }
            return;
        }
        int i = index(part[2]);
        if (i < 0) {
            return;
        }
        Book.Grant grant = books.get(i).grant(now, new Book.Request(name, Long.parseUnsignedLong(part[3], 16), Long.parseLong(part[4]), Long.parseLong(part[5]),
                Long.parseLong(part[6]), Long.parseLong(part[7])));
        if (grant != null) {
            say(name, number, "G/" + bookTerm + "/" + part[2] + "/" + grant.number() + "/" + grant.amount());
        }
    }

    /** Its share of a budget now. */
    public long share(Duration now, int budget) {
        return holdings.get(budget).share(now);
    }

    public boolean leads(Duration now) {
        return election.leads(now);
    }

    /** Each budget with its share, as a JSON array. */
    public String json(Duration now) {
        StringBuilder text = new StringBuilder("[");
        Election.Leader leader = election.leader(now);
        for (int i = 0; i < budgets.size(); i++) {
            Holding holding = holdings.get(i);
            text.append(i == 0 ? "" : ",").append("{\"name\":\"").append(budgets.get(i).name()).append("\",\"whole\":").append(budgets.get(i).whole())
                    .append(",\"share\":").append(holding.share(now)).append(",\"left_ms\":").append(Math.max(0, holding.until().minus(now).toMillis()))
                    .append(",\"in_use\":").append(spender.demand(now, budgets.get(i))[0]).append(",\"leader\":\"").append(leader == null ? "" : leader.name())
                    .append("\",\"term\":").append(leader == null ? 0 : leader.term()).append(",\"out\":")
                    .append(books.isEmpty() ? -1 : books.get(i).out(now)).append('}');
        }
        return text.append(']').toString();
    }
}
