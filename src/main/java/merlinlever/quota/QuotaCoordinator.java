package merlinlever.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.LeaderElection;
import merlinlever.election.Leadership;
import merlinlever.view.ActionPermissions;
import merlinlever.view.FleetView;
import merlinlever.view.GuardedAction;

/**
 * One backend's part in the division of all budgets: divides where it leads, asks whoever leads for its shares, and tells
 * the spender what it may spend until when. What it says to itself does not leave the process. Decisions alone.
 *
 * <p>Words, each with its number: {@code Q/term/budget/life/grant/held/inUse/wanted} asks for a share, {@code
 * G/term/budget/grant/amount} grants it; who leads is told by a word of {@link LeaderElection}.
 */
public final class QuotaCoordinator {

    /** Who spends; times are since the process began. */
    public interface QuotaConsumer {
        /** What is in use of the budget now, and what would be used if there were more. */
        long[] demand(Duration now, FleetQuota budget);

        /** It may use so much until then. */
        void setAllowance(FleetQuota budget, long share, Duration until);
    }

    /** Beyond what is used, so much of it is asked for as well, and one: or nobody who has little could show that it wants more. */
    private static final int MORE = 4;

    /** First parts of the words that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of("Q", "G");

    private final String self;
    private final long life;
    private final List<FleetQuota> budgets;
    private final List<QuotaLease> holdings = new ArrayList<>();
    private final Duration[] nextAsk;
    private final boolean[] used;
    private final List<LeaseLedger> books = new ArrayList<>();
    private final LeaderElection terms;
    private final SplittableRandom chance;
    private final QuotaConsumer spender;
    private final Consumer<String> log;
    private long bookTerm = -1;
    /** Null where there is no view of the fleet; then terms alone say who may give. */
    private FleetView seen;

    private Duration nextTurn = Duration.ZERO;
    private final List<LeaderElection.PeerMessage> out = new ArrayList<>();

    /**
     * @param life a number that no other life of this backend has
     * @param terms who leads; looked at and told by its owner, before this one is looked at
     */
    public QuotaCoordinator(
            Duration now,
            String self,
            long life,
            List<FleetQuota> budgets,
            LeaderElection terms,
            SplittableRandom chance,
            QuotaConsumer spender,
            Consumer<String> log) {
        this.self = self;
        this.life = life;
        this.budgets = new ArrayList<>(budgets);
        this.terms = terms;
        this.chance = chance;
        this.spender = spender;
        this.log = log;
        nextAsk = new Duration[budgets.size()];
        used = new boolean[budgets.size()];
        for (int i = 0; i < nextAsk.length; i++) {
            holdings.add(new QuotaLease(budgets.get(i), life));
            nextAsk[i] = now;
        }
    }

    /** From here on it gives shares only while its standing among the others lets it. */
    public void restrictTo(FleetView with) {
        seen = with;
    }

    /** The wholes were changed; a share over a smaller one is given back as the leases run out. */
    public void updateQuotas(List<FleetQuota> changed) {
        for (int i = 0; i < budgets.size(); i++) {
            for (FleetQuota each : changed) {
                if (each.name().equals(budgets.get(i).name())) {
                    budgets.set(i, each);
                    holdings.get(i).updateQuota(each);
                    if (!books.isEmpty()) {
                        books.get(i).updateQuota(each);
                    }
                }
            }
        }
    }

    // ---- a look at all

    /** What is to be said now; to be asked for every few ms. */
    public List<LeaderElection.PeerMessage> tick(Duration now) {
        Leadership.Leader leader = terms.leader(now);
        books(now);
        for (int i = 0; i < budgets.size(); i++) {
            QuotaLease holding = holdings.get(i);
            long[] demand = spender.demand(now, budgets.get(i));
            used[i] |= demand[1] > 0;
            // One that is out of share and wants some does not wait for its turn as long.
            boolean wants = demand[1] > holding.available(now);
            if (now.compareTo(nextAsk[i]) >= 0
                    || (wants
                            && now.compareTo(nextAsk[i].minus(
                                            pause(i).multipliedBy(3).dividedBy(4)))
                                    >= 0)) {
                nextAsk[i] = now.plus(pause(i))
                        .plus(Duration.ofNanos(
                                chance.nextLong(pause(i).dividedBy(4).toNanos() + 1)));
                ask(now, i, leader, demand);
            }
            spender.setAllowance(budgets.get(i), holding.available(now), holding.expiresAt());
        }
        return receive();
    }

    private void say(String to, long number, String what) {
        out.add(new LeaderElection.PeerMessage(to, number, what));
    }

    private List<LeaderElection.PeerMessage> receive() {
        List<LeaderElection.PeerMessage> all = List.copyOf(out);
        out.clear();
        return all;
    }

    private Duration pause(int i) {
        return budgets.get(i).leaseDuration().dividedBy(4);
    }

    private void ask(Duration now, int i, Leadership.Leader leader, long[] demand) {
        if (leader == null) {
            // Any voter may know who leads.
            String voter = terms.voters().get(chance.nextInt(terms.voters().size()));
            if (!voter.equals(self)) {
                say(voter, 0, "Q/0/" + budgets.get(i).name() + "/" + Long.toHexString(life) + "/0/0/0/0");
            }
            return;
        }
        long wanted = demand[1] == 0 && !used[i] ? 0 : demand[1] + demand[1] / MORE + 1;
        QuotaLease.RenewalRequest ask = holdings.get(i)
                .requestRenewal(
                        now,
                        leader.term(),
                        demand[0],
                        Math.min(wanted, budgets.get(i).limit()));
        used[i] = false;
        if (ask == null) {
            return;
        }
        if (leader.name().equals(self)) {
            LeaseLedger.LeaseGrant grant = grant(
                    now,
                    i,
                    new LeaseLedger.LeaseRequest(self, life, ask.currentGrant(), ask.held(), ask.inUse(), ask.wanted()));
            if (grant != null) {
                holdings.get(i).applyGrant(now, leader.term(), ask.number(), grant.number(), grant.amount());
            }
        } else {
            say(
                    leader.name(),
                    ask.number(),
                    "Q/" + leader.term() + "/" + budgets.get(i).name() + "/" + Long.toHexString(life) + "/"
                            + ask.currentGrant() + "/" + ask.held() + "/" + ask.inUse() + "/" + ask.wanted());
        }
    }

    private LeaseLedger.LeaseGrant grant(Duration now, int budget, LeaseLedger.LeaseRequest request) {
        boolean may = seen == null || seen.may(now, GuardedAction.GRANT) == ActionPermissions.Permission.YES;
        return books.isEmpty() || !may ? null : books.get(budget).grant(now, request);
    }

    /** A leadership begins with books that know nothing of the one before. */
    private void books(Duration now) {
        if (!terms.leads(now)) {
            books.clear();
            bookTerm = -1;
            return;
        }
        if (bookTerm != terms.term()) {
            bookTerm = terms.term();
            books.clear();
            budgets.forEach(budget -> books.add(new LeaseLedger(now, budget)));
            log.accept("budgets: leads, term " + bookTerm);
        }
        if (now.compareTo(nextTurn) >= 0) {
            nextTurn = now.plus(
                    budgets.isEmpty() ? Duration.ofSeconds(1) : budgets.get(0).leaseDuration());
            books.forEach(LeaseLedger::rotateRemainder);
        }
    }

    // ---- what others say

    /** Another said that, one of {@link #MESSAGE_TYPES}; returns what is said to it. */
    public List<LeaderElection.PeerMessage> receive(Duration now, String name, long number, String what) {
        String[] part = what.split("/");
        try {
            switch (part[0]) {
                case "Q" -> asked(now, name, number, part);
                case "G" -> {
                    int i = index(part[2]);
                    long term = Long.parseLong(part[1]);
                    if (i >= 0
                            && holdings.get(i)
                                    .applyGrant(now, term, number, Long.parseLong(part[3]), Long.parseLong(part[4]))) {
                        terms.heardLeader(now, name, term);
                    }
                }
                default -> log.accept("budgets: " + name + " said what is not understood: " + what);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept("budgets: " + name + " said what is not understood: " + what);
        }
        return receive();
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
        Leadership.Leader leader = terms.leader(now);
        books(now);
        if (leader == null || books.isEmpty() || Long.parseLong(part[1]) != bookTerm) {
            if (leader != null) {
                say(name, 0, terms.toldWho(now));
            }
            return;
        }
        int i = index(part[2]);
        if (i < 0) {
            return;
        }
        LeaseLedger.LeaseGrant grant = grant(
                now,
                i,
                new LeaseLedger.LeaseRequest(
                        name,
                        Long.parseUnsignedLong(part[3], 16),
                        Long.parseLong(part[4]),
                        Long.parseLong(part[5]),
                        Long.parseLong(part[6]),
                        Long.parseLong(part[7])));
        if (grant != null) {
            say(name, number, "G/" + bookTerm + "/" + part[2] + "/" + grant.number() + "/" + grant.amount());
        }
    }

    /** Its share of a budget now. */
    public long available(Duration now, int budget) {
        return holdings.get(budget).available(now);
    }

    public boolean isLeader(Duration now) {
        return terms.leads(now);
    }

    /** Each budget with its share, as a JSON array. */
    public String statusJson(Duration now) {
        StringBuilder text = new StringBuilder("[");
        Leadership.Leader leader = terms.leader(now);
        for (int i = 0; i < budgets.size(); i++) {
            QuotaLease holding = holdings.get(i);
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(budgets.get(i).name())
                    .append("\",\"whole\":")
                    .append(budgets.get(i).limit())
                    .append(",\"share\":")
                    .append(holding.available(now))
                    .append(",\"left_ms\":")
                    .append(Math.max(0, holding.expiresAt().minus(now).toMillis()))
                    .append(",\"in_use\":")
                    .append(spender.demand(now, budgets.get(i))[0])
                    .append(",\"leader\":\"")
                    .append(leader == null ? "" : leader.name())
                    .append("\",\"term\":")
                    .append(leader == null ? 0 : leader.term())
                    .append(",\"out\":")
                    .append(books.isEmpty() ? -1 : books.get(i).outstanding(now))
                    .append('}');
        }
        return text.append(']').toString();
    }
}
