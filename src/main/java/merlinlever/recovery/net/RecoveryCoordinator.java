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
import merlinlever.membership.MemberTable;
import merlinlever.membership.MembershipCodec;
import merlinlever.membership.MembershipTransport;
import merlinlever.membership.SwimProtocol;
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
public final class RecoveryCoordinator implements SwimProtocol.RecoveryExchange {

    /** What comes back to work; times are since the process began. */
    public interface RecoveringService {
        /** Keyed work that came before the one moment is not begun, nor any at or after the other. */
        void admitNonIdempotent(Duration from, Duration to);

        /** A starting guess of what the hold can take, worth so many completions. */
        void warmStart(double capacity, double completions);

        /** Learned in this life, 0 for nothing yet. */
        double learnedCapacity();

        /** Whether it has its full speed. */
        boolean isAtFullSpeed();

        /** One without operations. */
        RecoveringService NONE = new RecoveringService() {
            @Override
            public void admitNonIdempotent(Duration from, Duration to) {}

            @Override
            public void warmStart(double capacity, double completions) {}

            @Override
            public double learnedCapacity() {
                return 0;
            }

            @Override
            public boolean isAtFullSpeed() {
                return true;
            }
        };
    }

    /**
     * Where it is.
     *
     * @param advertisedAddress what others are told, or null for the address that it listens at
     * @param apiAddress told to others as where it takes commands
     * @param seeds where some of the others listen
     */
    public record NodeSettings(
            String name, InetSocketAddress listenAddress, String advertisedAddress, String apiAddress, List<String> seeds, String secret) {}

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
                loop, place.listenAddress(), MembershipCodec.MOST, (octets, from, waited) -> link[0].came(octets, from));
        String told = place.advertisedAddress() != null ? place.advertisedAddress() : MembershipTransport.text(datagrams.address());
        // A port that is drawn anew at each start tells nothing of whose the folder is.
        owner = place.name() + "@"
                + (place.advertisedAddress() != null || place.listenAddress().getPort() != 0
                        ? told
                        : place.listenAddress().getAddress().getHostAddress());
        RecoveryFile store = new RecoveryFile(folder);
        RecoveryFile.LoadResult found = store.read();
        long now = unix.getAsLong();
        PersistedStateAssessor.TrustedState verdict =
                PersistedStateAssessor.assess(found.state(), found.corruption(), owner, now);
        verdict.findings().forEach(finding -> log.accept("found " + finding.describe()));
        Set<String> ask = new LinkedHashSet<>(place.seeds());
        ask.addAll(verdict.peerAddresses());
        ask.remove(told);
        SplittableRandom chance = new SplittableRandom(seed);
        members = new SwimProtocol(
                loop.clock().uptime(),
                new MemberTable(place.name(), told, place.apiAddress(), verdict.incarnation()),
                SwimProtocol.SwimSettings.usual(List.copyOf(ask)),
                chance.split(),
                log);
        members.recall(this);
        term = verdict.highestTerm();
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

    public SwimProtocol membership() {
        return members;
    }

    public RecoverySequence sequence() {
        return order;
    }

    /** What is to be said to others is said now, and not at the next look. */
    public void flush() {
        link[0].settle();
    }

    /** This one goes in good order; the others are told. */
    public void announceLeave() {
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
        return members.views().of(members.views().self()).incarnation();
    }

    private boolean mayTell(long incarnation) {
        return incarnation <= onDisk;
    }

    // ---- what others ask and tell

    @Override
    public String tells() {
        return String.format(
                Locale.ROOT,
                "%d/%s/%.2f",
                unix.getAsLong(),
                order.stage().wireName(),
                Math.min(1e9, service.learnedCapacity()));
    }

    @Override
    public void told(String name, long number, String what) {
        String[] parts = what.split("/");
        try {
            order.reportReceived(
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
        for (MemberTable.MemberRecord each : members.views().all()) {
            if (!each.name().equals(members.views().self())) {
                order.peerStatusChanged(now, each.name(), each.status() == MemberTable.MemberStatus.ALIVE);
            }
        }
        if (members.views().rivals() != rivals) {
            rivals = members.views().rivals();
            if (rivals > 1) {
                order.nameConflictObserved(now);
            }
        }
        order.dueQueries(now).forEach(ask -> members.ask(ask.peer(), ask.correlationId()));
        if (service.isAtFullSpeed()) {
            order.fullSpeedReached(now);
        }
        for (RecoverySequence.RecoveryEvent step : order.takeEvents()) {
            since = step.at();
            log.accept(step.stage().wireName() + ": " + step.description());
        }
        if (!guessed && order.estimateWeight() > 0) {
            guessed = true;
            service.warmStart(order.capacityEstimate(), order.estimateWeight());
        }
        if (Math.abs(lead() - leadAtMark) > SET_MS && !keyedTo.isZero()) {
            log.accept("the clock was set by " + (lead() - leadAtMark) + " ms; keyed work waits for the next mark");
            keyedTo = Duration.ZERO;
            nextMark = now;
        }
        service.admitNonIdempotent(order.nonIdempotentAdmittedFrom(now), keyedTo);
        if (!writer.isBusy()
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
        for (MemberTable.MemberRecord each : members.views().all()) {
            if (!each.name().equals(members.views().self()) && each.status() != MemberTable.MemberStatus.LEFT) {
                peers.add(each.gossip());
            }
        }
        long terms = term;
        PersistedState memory = new PersistedState(
                owner, incarnations, terms, wroteAt + to.minus(now).toMillis(), wroteAt, service.learnedCapacity(), peers);
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
    public boolean reserveTerm(long wanted) {
        term = Math.max(term, wanted);
        if (term > termOnDisk && !writer.isBusy()) {
            write(now());
        }
        return wanted <= termOnDisk;
    }

    /** The highest term that was noted, in this life or before. */
    public long highestTerm() {
        return term;
    }

    /** How far it has come, as a JSON object. */
    public String statusJson() {
        Duration now = now();
        int[] counts = order.peerCounts();
        long wait = Math.max(0, order.nonIdempotentAdmittedFrom(now).minus(now).toMillis());
        return "{\"stage\":\"" + order.stage().wireName() + "\",\"since_ms\":"
                + now.minus(since).toMillis() + ",\"incarnation\":" + incarnation()
                + ",\"others\":" + counts[0] + ",\"told\":" + counts[1] + ",\"keyed_in_ms\":" + wait + ",\"mark_ms\":"
                + Math.max(0, keyedTo.minus(now).toMillis()) + ",\"disk\":" + !writeFailed + "}";
    }
}
