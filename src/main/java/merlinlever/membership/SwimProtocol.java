package merlinlever.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.WireNamed;

/** Decides whom to ask when, whom to suspect, and which rumours go along. */
public final class SwimProtocol {

    /** The kinds of messages; only asking ones are answered. */
    public enum MessageKind implements WireNamed {
        PING("ping"),
        ACK("ack"),
        ASK_FOR("ask_for"),
        NACK("nack"),
        SYNC("sync"),
        SYNC_BACK("sync_back"),
        RECALL("recall"),
        RECALLED("recalled"),
        SAY("say"),
        CARRY("carry");

        private final String wireName;

        MessageKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * One message.
     *
     * @param number of the question; an answer bears that of its question
     * @param about the gossip address that {@code ASK_FOR} is about, what {@code RECALLED} tells or {@code SAY} says, else empty
     * @param body what {@code CARRY} carries, else null
     */
    public record MembershipMessage(
            MessageKind kind,
            String from,
            long number,
            String about,
            List<MemberTable.MemberRecord> rumours,
            byte[] body) {
        public MembershipMessage(
                MessageKind kind, String from, long number, String about, List<MemberTable.MemberRecord> rumours) {
            this(kind, from, number, about, rumours, null);
        }
    }

    /** What one that comes back asks the others, and what they tell it beside all that they believe. */
    public interface RecoveryExchange {
        /** What this one tells: printable, without spaces, 64 octets at the most. */
        String tells();

        /** The other has told that, to the question of that number. */
        void told(String name, long number, String what);
    }

    /** Hears what others say to this one, beside membership; it takes what it understands. */
    public interface TextMessageHandler {
        void said(String name, long number, String what);
    }

    /** Takes what others carry to this one, beside membership. */
    public interface PayloadHandler {
        void carried(String name, byte[] body);
    }

    /** A message and where it goes. */
    public record OutboundDatagram(String to, MembershipMessage message) {}

    /**
     * What is stated.
     *
     * @param period in which one other is asked
     * @param timeout after which others are asked to ask it
     * @param helpers so many of them
     * @param seeds gossip addresses that are tried until somebody is known
     */
    public record SwimSettings(Duration period, Duration timeout, int helpers, List<String> seeds) {
        public static SwimSettings usual(List<String> seeds) {
            return new SwimSettings(Duration.ofSeconds(1), Duration.ofMillis(300), 3, seeds);
        }
    }

    /** Members known, and octets carried in one message, at the most. */
    public static final int MOST = 2000;

    public static final int MOST_CARRIED = 48 << 10;
    private static final int HEALTH_MOST = 8;
    /** A whole exchange with one other, a dead one too: so two halves of a network find each other again. */
    private static final int SYNC_PERIODS = 10;

    private static final Duration FORGET = Duration.ofHours(24);

    /** A question that waits for its answer. */
    private static final class PendingPing {
        final String name;
        final Duration until;
        Duration helpAt;
        int nacksWanted;

        PendingPing(String name, Duration helpAt, Duration until) {
            this.name = name;
            this.helpAt = helpAt;
            this.until = until;
        }
    }

    /** A question that was put for somebody else. */
    private record RelayedPing(String to, long number, Duration nackAt, Duration until) {}

    private final SwimSettings stated;
    private final MemberTable views;
    private final SplittableRandom chance;
    private final Consumer<String> log;
    private final GossipQueue rumours;
    private final Map<Long, PendingPing> asked = new LinkedHashMap<>();
    private final Map<Long, RelayedPing> relayed = new LinkedHashMap<>();
    private final SuspicionTimers suspicions = new SuspicionTimers();
    private final ArrayDeque<String> round = new ArrayDeque<>();
    private List<OutboundDatagram> out = new ArrayList<>();
    private Duration nextPeriod;
    private RecoveryExchange recall;
    private final MessageDispatcher beside = new MessageDispatcher();
    private long numbers;
    private long periods;
    private int health;

    public SwimProtocol(
            Duration now, MemberTable views, SwimSettings stated, SplittableRandom chance, Consumer<String> log) {
        this.views = views;
        rumours = new GossipQueue(views);
        this.stated = stated;
        this.chance = chance;
        this.log = log;
        nextPeriod = now;
        numbers = chance.nextLong() >>> 16;
        tell(now, views.of(views.self()));
    }

    public MemberTable views() {
        return views;
    }

    /** From here on questions of those that come back are answered, and answers to this one's own are heard. */
    public void recall(RecoveryExchange with) {
        recall = with;
    }

    /** From here on it hears what others say to this one, where that begins with one of these words and a slash. */
    public void hears(Set<String> words, TextMessageHandler who) {
        beside.hears(words, who);
    }

    /** From here on it takes what others carry to this one; each takes what it understands. */
    public void takes(PayloadHandler who) {
        beside.takes(who);
    }

    /** Carries octets to another, {@link #MOST_CARRIED} at the most; lost where it is not known. */
    public void carry(String name, byte[] body) {
        if (body.length > MOST_CARRIED) {
            throw new IllegalArgumentException(body.length + " octets to carry");
        }
        MemberTable.MemberRecord known = views.of(name);
        if (known != null) {
            out.add(new OutboundDatagram(
                    known.gossip(), new MembershipMessage(MessageKind.CARRY, views.self(), 0, "", List.of(), body)));
        }
    }

    /** Says something to another, 120 printable octets without spaces at the most; lost where it is not known. */
    public void say(String name, long number, String what) {
        MemberTable.MemberRecord known = views.of(name);
        if (known != null) {
            send(known.gossip(), MessageKind.SAY, number, what);
        }
    }

    /** Asks another what it knows. */
    public void ask(String name, long number) {
        send(views.of(name).gossip(), MessageKind.RECALL, number, "");
    }

    /** 0 where this one is well; more where its own lateness made it slow to hear (Lifeguard section IV-A). */
    public int health() {
        return health;
    }

    /** How long ago what is believed of the agent last changed. */
    public Duration changedAgo(Duration now, String name) {
        return rumours.changedAgo(now, name);
    }

    private int others() {
        return views.size() - 1;
    }

    // ---- rumours

    private void tell(Duration now, MemberTable.MemberRecord rumour) {
        if (rumour == null) {
            return;
        }
        rumours.begin(now, rumour.name());
        if (rumour.status() == MemberTable.MemberStatus.SUSPECT) {
            suspicions.begin(now, rumour.name());
        } else {
            suspicions.end(rumour.name());
        }
        if (!rumour.name().equals(views.self())) {
            log.accept("agent " + rumour.name() + " is " + rumour.status().wireName() + ", incarnation "
                    + rumour.incarnation());
        } else if (rumour.status() == MemberTable.MemberStatus.ALIVE && rumour.incarnation() > 0) {
            worse(1);
        }
    }

    private void send(String to, MessageKind kind, long number, String about) {
        List<MemberTable.MemberRecord> with =
                kind == MessageKind.SYNC || kind == MessageKind.SYNC_BACK || kind == MessageKind.RECALLED
                        ? views.all()
                        : rumours.next();
        out.add(new OutboundDatagram(to, new MembershipMessage(kind, views.self(), number, about, with)));
    }

    private void worse(int by) {
        health = Math.max(0, Math.min(HEALTH_MOST, health + by));
    }

    // ---- what happens

    public void heard(Duration now, String fromAddress, MembershipMessage message) {
        for (MemberTable.MemberRecord rumour : message.rumours) {
            if (views.of(rumour.name()) == null && views.size() >= MOST) {
                continue;
            }
            if (rumour.status() == MemberTable.MemberStatus.SUSPECT) {
                suspicions.alsoBy(rumour.name(), message.from);
            }
            tell(now, views.heard(rumour));
        }
        switch (message.kind) {
            case PING -> send(fromAddress, MessageKind.ACK, message.number, "");
            case ASK_FOR -> {
                long number = ++numbers;
                relayed.put(
                        number,
                        new RelayedPing(
                                fromAddress,
                                message.number,
                                now.plus(stated.timeout.multipliedBy(4).dividedBy(5)),
                                now.plus(stated.period)));
                send(message.about, MessageKind.PING, number, "");
            }
            case ACK -> {
                PendingPing one = asked.remove(message.number);
                if (one != null) {
                    worse(-1);
                }
                RelayedPing other = relayed.remove(message.number);
                if (other != null) {
                    send(other.to, MessageKind.ACK, other.number, "");
                }
            }
            case NACK -> {
                PendingPing one = asked.get(message.number);
                if (one != null && one.nacksWanted > 0) {
                    one.nacksWanted--;
                }
            }
            case SYNC -> send(fromAddress, MessageKind.SYNC_BACK, message.number, "");
            case RECALL -> {
                if (recall != null) {
                    send(fromAddress, MessageKind.RECALLED, message.number, recall.tells());
                }
            }
            case RECALLED -> {
                if (recall != null) {
                    recall.told(message.from, message.number, message.about);
                }
            }
            case SAY, CARRY -> beside.came(message);
            default -> {}
        }
    }

    /** This one leaves in good order; what {@link #settle} then returns is to be sent still. */
    public void leave(Duration now) {
        tell(now, views.leave());
        List<MemberTable.MemberRecord> alive = alive();
        for (int i = 0; i < Math.min(stated.helpers + 2, alive.size()); i++) {
            send(alive.get(i).gossip(), MessageKind.PING, ++numbers, "");
        }
    }

    private List<MemberTable.MemberRecord> alive() {
        List<MemberTable.MemberRecord> alive = new ArrayList<>();
        for (MemberTable.MemberRecord each : views.all()) {
            if (!each.name().equals(views.self())
                    && (each.status() == MemberTable.MemberStatus.ALIVE
                            || each.status() == MemberTable.MemberStatus.SUSPECT)) {
                alive.add(each);
            }
        }
        shuffle(alive);
        return alive;
    }

    private <T> void shuffle(List<T> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, chance.nextInt(i + 1));
        }
    }

    // ---- what is decided

    /** What is to be sent now. */
    public List<OutboundDatagram> settle(Duration now) {
        if (now.compareTo(nextPeriod) >= 0) {
            // A period that was slept through is not made up for.
            nextPeriod = now.plus(stated.period.multipliedBy(1 + health));
            period(now);
        }
        for (Map.Entry<Long, PendingPing> entry : List.copyOf(asked.entrySet())) {
            PendingPing one = entry.getValue();
            if (one.helpAt != null && now.compareTo(one.helpAt) >= 0) {
                one.helpAt = null;
                help(entry.getKey(), one);
            }
            if (now.compareTo(one.until) >= 0) {
                asked.remove(entry.getKey());
                worse(1 + (one.nacksWanted > 0 ? 1 : 0));
                suspect(now, one.name);
            }
        }
        for (Map.Entry<Long, RelayedPing> entry : List.copyOf(relayed.entrySet())) {
            RelayedPing one = entry.getValue();
            if (one.nackAt != null && now.compareTo(one.nackAt) >= 0) {
                send(one.to, MessageKind.NACK, one.number, "");
                relayed.put(entry.getKey(), new RelayedPing(one.to, one.number, null, one.until));
            }
            if (now.compareTo(one.until) >= 0) {
                relayed.remove(entry.getKey());
            }
        }
        for (String name : suspicions.over(now, others(), stated.period)) {
            tell(now, views.dead(name));
            suspicions.end(name);
        }
        List<OutboundDatagram> sendings = out;
        out = new ArrayList<>();
        return sendings;
    }

    private void suspect(Duration now, String name) {
        MemberTable.MemberRecord rumour = views.suspect(name);
        tell(now, rumour);
    }

    private void help(long number, PendingPing one) {
        MemberTable.MemberRecord target = views.of(one.name);
        int helpers = 0;
        for (MemberTable.MemberRecord helper : alive()) {
            if (helpers < stated.helpers && !helper.name().equals(one.name) && target != null) {
                helpers++;
                send(helper.gossip(), MessageKind.ASK_FOR, number, target.gossip());
            }
        }
        one.nacksWanted = helpers;
    }

    private void period(Duration now) {
        periods++;
        if (others() == 0 || periods % SYNC_PERIODS == 0) {
            sync();
        }
        for (MemberTable.MemberRecord each : views.all()) {
            boolean gone =
                    each.status() == MemberTable.MemberStatus.DEAD || each.status() == MemberTable.MemberStatus.LEFT;
            if (gone
                    && !each.name().equals(views.self())
                    && changedAgo(now, each.name()).compareTo(FORGET) > 0) {
                views.forget(each.name());
                rumours.forget(each.name());
            }
        }
        String next = next();
        if (next != null) {
            long number = ++numbers;
            Duration timeout = stated.timeout.multipliedBy(1 + health);
            asked.put(
                    number, new PendingPing(next, now.plus(timeout), now.plus(stated.period.multipliedBy(1 + health))));
            send(views.of(next).gossip(), MessageKind.PING, number, "");
        }
    }

    /** All in turn, in an order that is drawn anew each round (SWIM section 4.3). */
    private String next() {
        for (int tries = 0; tries < 2; tries++) {
            while (!round.isEmpty()) {
                String name = round.poll();
                MemberTable.MemberRecord known = views.of(name);
                if (known != null
                        && (known.status() == MemberTable.MemberStatus.ALIVE
                                || known.status() == MemberTable.MemberStatus.SUSPECT)) {
                    return name;
                }
            }
            alive().forEach(each -> round.add(each.name()));
        }
        return null;
    }

    private void sync() {
        List<String> to = new ArrayList<>();
        for (MemberTable.MemberRecord each : views.all()) {
            // The dead too: it may be this side that was cut off.
            if (!each.name().equals(views.self()) && each.status() != MemberTable.MemberStatus.LEFT) {
                to.add(each.gossip());
            }
        }
        if (to.isEmpty()) {
            stated.seeds.stream()
                    .filter(seed -> !seed.equals(views.of(views.self()).gossip()))
                    .forEach(to::add);
            for (String seed : to) {
                send(seed, MessageKind.SYNC, ++numbers, "");
            }
            return;
        }
        send(to.get(chance.nextInt(to.size())), MessageKind.SYNC, ++numbers, "");
    }
}
