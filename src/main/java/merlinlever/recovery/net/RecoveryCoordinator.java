package merlinlever.recovery.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.WireNamed;
import merlinlever.membership.MemberRecord;
import merlinlever.membership.MemberStatus;
import merlinlever.membership.MemberTable;
import merlinlever.membership.MembershipCodec;
import merlinlever.membership.MembershipTransport;
import merlinlever.membership.RecoveryExchange;
import merlinlever.membership.SwimProtocol;
import merlinlever.membership.SwimSettings;
import merlinlever.net.DatagramEndpoint;
import merlinlever.net.EventLoop;
import merlinlever.recovery.PersistedState;
import merlinlever.recovery.PersistedStateAssessor;
import merlinlever.recovery.RecoverySequence;
import merlinlever.recovery.disk.RecoveryFile;
import merlinlever.recovery.disk.RecoveryFileWriter;
import merlinlever.storage.StateDirectory;

/**
 * One process that comes back: reads what its life before left, joins the others, asks them, and tells the service what
 * it may take. While it runs it notes ahead what it may do, so that the next life knows the most that it can have done.
 */
public final class RecoveryCoordinator implements RecoveryExchange {

    /** What comes back to work; times are since the process began. */
    public interface RecoveringService {
        /** Keyed work that came before the one moment is not begun, nor any at or after the other. */
        void keyed(Duration from, Duration to);

        /** A starting guess of what the hold can take, worth so many completions. */
        void guess(double capacity, double completions);

        /** Learned in this life, 0 for nothing yet. */
        double capacity();

        /** Whether it has its full speed. */
        boolean fullSpeed();

        /** One without operations. */
        RecoveringService NONE = new RecoveringService() {
            @Override
            public void keyed(Duration from, Duration to) {}

            @Override
            public void guess(double capacity, double completions) {}

            @Override
            public double capacity() {
                return 0;
            }

            @Override
            public boolean fullSpeed() {
                return true;
            }
        };
    }

    /**
     * Where it is.
     *
     * @param advertise what others are told, or null for the address that it listens at
     * @param api told to others as where it takes commands
     * @param seeds where some of the others listen
     */
    public record NodeSettings(
            String name, InetSocketAddress listen, String advertise, String api, List<String> seeds, String secret) {}

    private static final Duration LOOK = Duration.ofMillis(50);
    /** Incarnations noted ahead, so that refuting a rumour seldom waits for the disk. */
    private static final long AHEAD = 64;
    /** Marks reach so many spans between two of them ahead. */
    private static final int REACH = 3;
    /** The Unix clock may differ from the steady one by so much before it counts as set. */
    private static final long SET_MS = 50;

    private final EventLoop loop;
    private final LongSupplier unix;
    private final RecoveringService service;
    private final Consumer<String> log;
    private final Duration mark;
    private final String owner;
    private final SwimProtocol members;
    private final MembershipTransport[] link = new MembershipTransport[1];
    private final RecoverySequence order;
    private final RecoveryFileWriter writer;
    private long rivals;
    private long onDisk;
    /** The highest term that may be promised: wanted, and on the disk. */
    private long term, termOnDisk;

    private Duration keyedTo = Duration.ZERO, nextMark = Duration.ZERO, since = Duration.ZERO;
    private long leadAtMark;
    private boolean guessed, writeFailed, closed;

    /**
     * Nothing is told to others before this life's incarnation is on the disk.
     *
     * @param mark between two notes of how far ahead keyed work may be begun; zero where there is none
     * @param unix the Unix clock, in milliseconds
     */
    public RecoveryCoordinator(
            EventLoop loop,
            StateDirectory folder,
            NodeSettings place,
            RecoverySequence.RecoverySettings stated,
            Duration mark,
            long seed,
            LongSupplier unix,
            RecoveringService service,
            Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.unix = unix;
        this.service = service;
        this.log = log;
        this.mark = mark;
        DatagramEndpoint datagrams = new DatagramEndpoint(
                loop,
                place.listen(),
                MembershipCodec.MAX_DATAGRAM_BYTES,
                (octets, from, waited) -> link[0].receive(octets, from));
        String told =
                place.advertise() != null ? place.advertise() : MembershipTransport.formatAddress(datagrams.address());
        // A port that is drawn anew at each start tells nothing of whose the folder is.
        owner = place.name() + "@"
                + (place.advertise() != null || place.listen().getPort() != 0
                        ? told
                        : place.listen().getAddress().getHostAddress());
        RecoveryFile store = new RecoveryFile(folder);
        RecoveryFile.LoadResult found = store.read();
        long now = unix.getAsLong();
        PersistedStateAssessor.TrustedState verdict =
                PersistedStateAssessor.judge(found.memory(), found.spoilt(), owner, now);
        verdict.findings().forEach(finding -> log.accept("found " + finding.told()));
        Set<String> ask = new LinkedHashSet<>(place.seeds());
        ask.addAll(verdict.peers());
        ask.remove(told);
        SplittableRandom chance = new SplittableRandom(seed);
        members = new SwimProtocol(
                loop.clock().uptime(),
                new MemberTable(place.name(), told, place.api(), verdict.incarnation()),
                SwimSettings.defaults(List.copyOf(ask)),
                chance.split(),
                log);
        members.setRecoveryExchange(this);
        term = verdict.term();
        order = new RecoverySequence(loop.clock().uptime(), now, verdict, stated, !ask.isEmpty(), chance.split());
        link[0] = new MembershipTransport(
                loop,
                datagrams,
                members,
                new MembershipCodec(place.secret().getBytes(StandardCharsets.UTF_8)),
                this::mayTell);
        writer = new RecoveryFileWriter(store, loop);
        loop.every(LOOK, this::look);
    }

    public SwimProtocol members() {
        return members;
    }

    public RecoverySequence order() {
        return order;
    }

    /** What is to be said to others is said now, and not at the next look. */
    public void send() {
        link[0].flush();
    }

    /** This one goes in good order; the others are told. */
    public void leave() {
        link[0].leave();
    }

    /**
     * Ends this life within a process that goes on: nothing is heard, told or written after it. The folder stays its
     * owner's to close. On the loop's thread, which waits for a write under way, {@code within} at the most.
     *
     * @return whether the last write has come to its end
     */
    public boolean close(Duration within) {
        closed = true;
        link[0].close();
        return writer.close(within);
    }

    private Duration now() {
        return loop.clock().uptime();
    }

    private long incarnation() {
        return members.memberTable().find(members.memberTable().self()).incarnation();
    }

    private boolean mayTell(long incarnation) {
        return incarnation <= onDisk;
    }

    // ---- what others ask and tell

    @Override
    public String recoveryReport() {
        return String.format(
                Locale.ROOT,
                "%d/%s/%.2f",
                unix.getAsLong(),
                order.stage().wireName(),
                Math.min(1e9, service.capacity()));
    }

    @Override
    public void onRecoveryReply(String name, long number, String what) {
        String[] parts = what.split("/");
        try {
            order.told(
                    now(),
                    unix.getAsLong(),
                    name,
                    number,
                    new RecoverySequence.PeerReport(
                            Long.parseLong(parts[0]),
                            WireNamed.parse(RecoverySequence.RecoveryStage.class, parts[1]),
                            Double.parseDouble(parts[2])));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            log.accept(name + " told what is not understood: " + what);
        }
    }

    // ---- a look at all

    private void look() {
        if (closed) {
            return;
        }
        Duration now = now();
        for (MemberRecord each : members.memberTable().all()) {
            if (!each.name().equals(members.memberTable().self())) {
                order.peer(now, each.name(), each.status() == MemberStatus.ALIVE);
            }
        }
        if (members.memberTable().addressConflicts() != rivals) {
            rivals = members.memberTable().addressConflicts();
            if (rivals > 1) {
                order.rival(now);
            }
        }
        order.settle(now).forEach(ask -> members.sendRecoveryQuery(ask.name(), ask.number()));
        if (service.fullSpeed()) {
            order.fullSpeed(now);
        }
        for (RecoverySequence.RecoveryEvent step : order.steps()) {
            since = step.at();
            log.accept(step.stage().wireName() + ": " + step.why());
        }
        if (!guessed && order.weight() > 0) {
            guessed = true;
            service.guess(order.capacity(), order.weight());
        }
        if (Math.abs(lead() - leadAtMark) > SET_MS && !keyedTo.isZero()) {
            log.accept("the clock was set by " + (lead() - leadAtMark) + " ms; keyed work waits for the next mark");
            keyedTo = Duration.ZERO;
            nextMark = now;
        }
        service.keyed(order.keyedFrom(now), keyedTo);
        if (!writer.busy()
                && (incarnation() > onDisk || term > termOnDisk || (!mark.isZero() && now.compareTo(nextMark) >= 0))) {
            write(now);
        }
    }

    /** What the Unix clock is ahead of the time since the start. */
    private long lead() {
        return unix.getAsLong() - now().toMillis();
    }

    private void write(Duration now) {
        nextMark = now.plus(mark);
        Duration to = now.plus(mark.multipliedBy(REACH));
        long wroteAt = unix.getAsLong();
        long lead = wroteAt - now.toMillis();
        long incarnations = Math.max(onDisk, incarnation() + AHEAD);
        List<String> peers = new ArrayList<>();
        for (MemberRecord each : members.memberTable().all()) {
            if (!each.name().equals(members.memberTable().self()) && each.status() != MemberStatus.LEFT) {
                peers.add(each.gossipAddress());
            }
        }
        long terms = term;
        PersistedState memory = new PersistedState(
                owner, incarnations, terms, wroteAt + to.minus(now).toMillis(), wroteAt, service.capacity(), peers);
        writer.write(memory, failed -> {
            if (failed == null) {
                onDisk = incarnations;
                termOnDisk = terms;
                keyedTo = to;
                leadAtMark = lead;
            }
            if (failed != null != writeFailed) {
                writeFailed = failed != null;
                log.accept(
                        writeFailed
                                ? "what the next life has to know cannot be written: " + failed.getMessage()
                                        + "; keyed work is turned away until it can"
                                : "it can be written again");
            }
        });
    }

    /** The term is wanted on the disk; true once it is there. Nothing is promised under it before. */
    public boolean noted(long wanted) {
        term = Math.max(term, wanted);
        if (term > termOnDisk && !writer.busy()) {
            write(now());
        }
        return wanted <= termOnDisk;
    }

    /** The highest term that was noted, in this life or before. */
    public long term() {
        return term;
    }

    /** How far it has come, as a JSON object. */
    public String json() {
        Duration now = now();
        int[] counts = order.counts();
        long wait = Math.max(0, order.keyedFrom(now).minus(now).toMillis());
        return "{\"stage\":\"" + order.stage().wireName() + "\",\"since_ms\":"
                + now.minus(since).toMillis() + ",\"incarnation\":" + incarnation()
                + ",\"others\":" + counts[0] + ",\"told\":" + counts[1] + ",\"keyed_in_ms\":" + wait + ",\"mark_ms\":"
                + Math.max(0, keyedTo.minus(now).toMillis()) + ",\"disk\":" + !writeFailed + "}";
    }
}
