package merlinlever.view;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import merlinlever.election.LeaderElection;
import merlinlever.membership.MemberTable;

/**
 * One backend's sight of the fleet: asks the voters what they hold and tells them what it finds, observes the few that the
 * view gives it, takes on each view with a higher number, and, where it leads, numbers the next. Decisions alone.
 *
 * <p>Words, each with its number: {@code WP/} asks a subject for life, {@code WO/} answers; {@code
 * WQ/view/digest/floor/hears/gone} asks a voter and tells it, {@code WA/view/digest/term} answers (its term where it leads);
 * {@code WG/known/wanted} asks for a view, which comes as a body. A question's number is answered once, by the one asked.
 */
public final class ViewManager implements FleetView {

    /** First parts of the words that {@link #receive} takes. */
    public static final Set<String> MESSAGE_TYPES = Set.of("WP", "WO", "WQ", "WA", "WG");

    /** A word to be said to another, or a body to be carried to it. */
    public record ViewMessage(String recipient, long correlationId, String text, byte[] payload) {}

    /** Words and octets of bodies in a second, and views pushed at one look, at the most; what is over is lost and asked for again. */
    private static final int MOST_WORDS = 5000;

    private static final int MOST_OCTETS = 2 << 20;
    private static final int PUSHED = 64;

    private final ViewSettings stated;
    private final MemberTable members;
    private final LeaderElection terms;
    private final String self;
    private final long floor;
    private final LongPredicate noted;
    private final Consumer<String> log;
    private final VoterResponses voices;
    private final FailureDetector probing;
    private final CutDetector cut;
    private final QuorumStatusHysteresis bearing;
    private final ViewCodec bodies = new ViewCodec();
    private final List<ViewMessage> out = new ArrayList<>();
    private final ArrayDeque<String> toTell = new ArrayDeque<>();
    private final DivergenceMonitor differing;
    /** The one adopted, and the latest that it knows of, which may not be adopted yet. */
    private MembershipView view = MembershipView.NONE, known = MembershipView.NONE;

    private List<String> order = List.of();
    private ObserverRings rings = new ObserverRings(view.members());
    private Duration viewSince, lastLook, nextAsk, nextFetch, second, returnedAt, rivalUntil = Duration.ZERO;
    private boolean returning = true;
    private long numbers, rivals, vouched, pushFrom, clashes, leadTerm = -1;
    private Duration leadSince = Duration.ZERO;
    private int count, words, octets;

    /**
     * @param members what membership believes, where the others' addresses and good-byes come from
     * @param life a number that no other life of this backend comes near, later ones higher
     * @param floor the highest term that is on the disk: views of it may have been held in lives before
     * @param noted asks for a term on the disk; true once it is there
     */
    public ViewManager(
            Duration now,
            ViewSettings stated,
            MemberTable members,
            LeaderElection terms,
            long life,
            long floor,
            LongPredicate noted,
            SplittableRandom chance,
            Consumer<String> log) {
        this.stated = stated;
        this.members = members;
        this.terms = terms;
        this.floor = floor;
        this.noted = noted;
        this.log = log;
        self = members.self();
        voices = new VoterResponses(terms.voters());
        differing = new DivergenceMonitor(voices, stated.minReportValidity(), log);
        probing = new FailureDetector(stated, life, chance.split());
        cut = new CutDetector(stated);
        bearing = new QuorumStatusHysteresis(now, stated.quietPeriod());
        numbers = life;
        viewSince = lastLook = nextFetch = second = returnedAt = now;
        nextAsk = now.plusNanos(chance.nextLong(stated.minPollInterval().toNanos()));
        rivals = members.addressConflicts();
    }

    // ---- what depends on others asks

    @Override
    public QuorumStatus status(Duration now) {
        return now.minus(lastLook).compareTo(stated.pauseThreshold()) > 0 ? QuorumStatus.RECOVERING : bearing.shown();
    }

    @Override
    public Duration statusSince() {
        return bearing.shownSince();
    }

    @Override
    public MembershipView view() {
        return view;
    }

    private Duration within() {
        return stated.reportValidity(Math.max(view.members().size(), members.size()));
    }

    private int most() {
        return terms.voters().size() / 2 + 1;
    }

    private int hears(Duration now) {
        return voices.heardVoters(now, within()).size() + (terms.voters().contains(self) ? 1 : 0);
    }

    // ---- a look at all

    /** What is to be said now; to be asked for every 50 to 100 ms. */
    public List<ViewMessage> tick(Duration now) {
        if (now.minus(lastLook).compareTo(stated.pauseThreshold()) > 0) {
            log.accept("view: stood still for " + now.minus(lastLook).toMillis() + " ms; what was missed is asked for");
            returning = true;
            returnedAt = now;
            voices.clear();
            probing.restartObservation(now);
            cut.clear();
            nextAsk = now;
        }
        lastLook = now;
        if (now.minus(second).toMillis() >= 1000) {
            second = now;
            words = octets = 0;
        }
        adopt(now);
        probing.dueProbes(now).forEach(ask -> say(ask.subject(), ask.correlationId(), "WP/"));
        if (now.compareTo(nextAsk) >= 0) {
            nextAsk = now.plus(stated.pollInterval(Math.max(view.members().size(), members.size())));
            ask(now);
        }
        lead(now);
        push();
        QuorumStatus before = bearing.shown();
        if (bearing.update(now, found(now))) {
            log.accept("view: standing is " + bearing.shown().wireName() + ", was " + before.wireName() + "; hears "
                    + hears(now) + " of " + terms.voters().size() + " voters, view " + view.describe());
        }
        return receive();
    }

    private void say(String to, long number, String what) {
        if (++words <= MOST_WORDS) {
            out.add(new ViewMessage(to, number, what, null));
        }
    }

    private void carry(String to, byte[] body) {
        octets += body.length;
        if (octets <= MOST_OCTETS) {
            out.add(new ViewMessage(to, 0, null, body));
        }
    }

    private List<ViewMessage> receive() {
        List<ViewMessage> all = List.copyOf(out);
        out.clear();
        return all;
    }

    private void ask(Duration now) {
        List<String> gone = probing.unreachable(now);
        StringBuilder places = new StringBuilder();
        gone.forEach(name -> places.append('.').append(Integer.toString(order.indexOf(name), 36)));
        String what = "WQ/" + Long.toString(view.number(), 36) + "/" + view.digest() + "/" + Long.toString(floor, 36)
                + "/" + hears(now) + "/" + places;
        for (String voter : terms.voters()) {
            numbers++;
            if (voter.equals(self)) {
                cut.recordReport(now, self, numbers, view.number(), floor, hears(now), gone, within());
            } else {
                voices.recordPoll(now, voter, numbers, within().multipliedBy(2));
                say(voter, numbers, what);
            }
        }
    }

    /** By what is heard; see {@link QuorumStatus}. */
    private QuorumStatus found(Duration now) {
        if (members.addressConflicts() != rivals) {
            // Once may be its own life before, which others still tell of.
            rivalUntil = members.addressConflicts() > 1 ? now.plus(stated.maxDoubtDelay()) : rivalUntil;
            rivals = members.addressConflicts();
        }
        int heard = hears(now);
        boolean enough = heard >= most();
        boolean inside = view.members().contains(self);
        boolean voter = terms.voters().contains(self);
        int told = voices.countNotAhead(returnedAt, view.number()) + (voter ? 1 : 0);
        if (returning && enough && inside && told >= most()) {
            returning = false;
        }
        int agreeing = voices.countAgreeing(now, within(), view, viewSince) + (voter ? 1 : 0);
        differing.update(now, voices.heardVoters(now, within()), view, viewSince);
        if (now.compareTo(rivalUntil) < 0) {
            return QuorumStatus.CONFLICTING;
        } else if (returning && (enough || now.minus(returnedAt).compareTo(stated.minReportValidity()) < 0)) {
            return QuorumStatus.RECOVERING;
        } else if (heard == (voter ? 1 : 0) && !probing.isAnyReachable(now) && !enough) {
            return QuorumStatus.ISOLATED;
        } else if (!enough) {
            return QuorumStatus.MINORITY;
        } else if (!inside) {
            return QuorumStatus.RECOVERING;
        } else if (agreeing < most()) {
            return QuorumStatus.CONFLICTING;
        }
        return heard == terms.voters().size() && agreeing == heard ? QuorumStatus.FULL : QuorumStatus.MAJORITY;
    }

    // ---- views

    /** Another view is known of; the higher number counts, and of one number there is one. */
    private void learn(Duration now, MembershipView told) {
        if (told.number() == known.number() && !told.digest().equals(known.digest())) {
            clashes++;
            log.accept("view: two memberships under one number, " + known.describe() + " and " + told.describe()
                    + "; the second is not taken");
        } else if (told.number() > known.number()) {
            known = told;
            bodies.remember(told);
            adopt(now);
        }
    }

    /** A later view is taken on once its term is on the disk; after a new start, only one that no life before can have been beyond. */
    private void adopt(Duration now) {
        boolean beyond = view.number() > 0 || known.term() > floor || vouched > 0 && known.number() >= vouched;
        if (known.number() <= view.number() || !beyond || !noted.test(known.term())) {
            return;
        }
        SortedSet<String> gone = new TreeSet<>(view.members());
        SortedSet<String> come = new TreeSet<>(known.members());
        gone.removeAll(known.members());
        come.removeAll(view.members());
        log.accept("view: " + known.describe() + " in place of " + view.describe() + list(", with ", come)
                + list(", without ", gone));
        view = known;
        viewSince = now;
        order = List.copyOf(view.members());
        rings = new ObserverRings(view.members());
        probing.setSubjects(now, rings.subjects(self));
    }

    private static String list(String word, SortedSet<String> names) {
        return names.isEmpty()
                ? ""
                : word + String.join(" ", names.stream().limit(20).toList()) + (names.size() > 20 ? " and more" : "");
    }

    /** The one that leads numbers the next view, when one is due. */
    private void lead(Duration now) {
        if (!terms.isLeader(now)) {
            leadTerm = -1;
            return;
        }
        if (leadTerm != terms.term()) {
            leadTerm = terms.term();
            leadSince = now;
            count = 0;
        }
        // What more than half of the voters hold comes first; nobody that is heard holds a later one.
        if (voices.isAnyAhead(now, within(), known.number()) || voices.countNotAhead(leadSince, known.number()) + 1 < most()) {
            return;
        }
        // The first view, the one that takes the leader in, and a new number for the same members cannot wait for the
        // agreement they bring.
        boolean outside = view.number() < known.number() || !known.members().contains(self);
        boolean anew = known.term() < leadTerm
                && known.number() > 0
                && (view.number() < known.number() || cut.isMemberWaitingForLaterTerm(now, known, within()));
        if (!outside && !anew && permission(now, GuardedAction.DECIDE) != ActionPermissions.Permission.ALLOWED) {
            return;
        }
        SortedSet<String> next =
                anew ? known.members() : cut.dueMembers(now, self, known, rings, most(), members::find, within());
        if (next == null
                || next.stream().filter(terms.voters()::contains).count() < most()
                || !MembershipView.isValidCount(count + 1)) {
            return;
        }
        SortedSet<String> all = new TreeSet<>(known.members());
        all.addAll(next);
        all.remove(self);
        pushFrom = known.number();
        learn(now, MembershipView.of(MembershipView.number(leadTerm, ++count), next));
        toTell.clear();
        toTell.addAll(all);
    }

    /** Some at a look; whoever misses it asks for it. */
    private void push() {
        if (!toTell.isEmpty()) {
            byte[] body = bodies.encode(known, pushFrom);
            for (int i = 0; i < PUSHED && !toTell.isEmpty(); i++) {
                carry(toTell.poll(), body);
            }
        }
    }

    /** Another carried that here. */
    public void receivePayload(Duration now, String name, byte[] body) {
        MembershipView told = ViewCodec.isViewPayload(body) ? bodies.decode(body) : null;
        if (told != null) {
            learn(now, told);
        }
    }

    // ---- what others say

    /** Another said that, one of {@link #MESSAGE_TYPES}; returns what is said to it. */
    public List<ViewMessage> receive(Duration now, String name, long number, String what) {
        String[] part = what.split("/");
        try {
            switch (part[0]) {
                case "WP" -> say(name, number, "WO/");
                case "WO" -> probing.recordAnswer(now, name, number);
                case "WQ" -> asked(now, name, number, part);
                case "WA" -> answered(
                        now, name, number, Long.parseLong(part[1], 36), part[2], Long.parseLong(part[3], 36));
                case "WG" -> {
                    if (known.number() >= Long.parseLong(part[2], 36)) {
                        carry(name, bodies.encode(known, Long.parseLong(part[1], 36)));
                    }
                }
                default -> throw new IllegalArgumentException(what);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept("view: " + name + " said what is not understood: " + what);
        }
        return receive();
    }

    private void asked(Duration now, String name, long number, String[] part) {
        if (!terms.voters().contains(self) || name.equals(self)) {
            return;
        }
        long its = Long.parseLong(part[1], 36);
        List<String> gone = new ArrayList<>();
        if (part.length > 5 && its == view.number() && part[2].equals(view.digest())) {
            for (String place : part[5].substring(1).split("\\.")) {
                gone.add(order.get(Integer.parseInt(place, 36)));
            }
        }
        cut.recordReport(now, name, number, its, Long.parseLong(part[3], 36), Integer.parseInt(part[4]), gone, within());
        say(
                name,
                number,
                "WA/" + Long.toString(view.number(), 36) + "/" + view.digest() + "/"
                        + (terms.isLeader(now) ? Long.toString(terms.term(), 36) : "0"));
    }

    private void answered(Duration now, String name, long question, long number, String digest, long leads) {
        if (!voices.recordAnswer(now, name, question, number, digest, view)) {
            return;
        }
        if (leads > 0) {
            terms.observeLeader(now, name, leads);
            if (MembershipView.term(number) == leads) {
                // While it leads nobody can have led under a higher term, and of its own it holds the latest.
                vouched = Math.max(vouched, number);
            }
        }
        if (number > known.number() && now.compareTo(nextFetch) >= 0) {
            nextFetch = now.plus(stated.quietPeriod().dividedBy(3));
            say(name, ++numbers, "WG/" + Long.toString(known.number(), 36) + "/" + Long.toString(number, 36));
        }
    }

    /** As a JSON object. */
    public String json(Duration now) {
        StringBuilder text = new StringBuilder("{\"standing\":\"")
                .append(status(now).wireName())
                .append("\",\"since_ms\":")
                .append(now.minus(statusSince()).toMillis())
                .append(",\"view\":\"")
                .append(view.displayNumber())
                .append("\",\"digest\":\"")
                .append(view.digest())
                .append("\",\"members\":")
                .append(view.members().size())
                .append(",\"inside\":")
                .append(view.members().contains(self))
                .append(",\"clashes\":")
                .append(clashes)
                .append(",\"hears\":")
                .append(names(voices.heardVoters(now, within())))
                .append(",\"gone\":")
                .append(names(probing.unreachable(now)))
                .append(",\"others\":[");
        text.append(differing.json(now));
        return text.append("]}").toString();
    }

    private static String names(List<String> names) {
        return names.isEmpty() ? "[]" : "[\"" + String.join("\",\"", names) + "\"]";
    }
}
