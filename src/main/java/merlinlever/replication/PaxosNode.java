package merlinlever.replication;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import merlinlever.election.Leadership;
import merlinlever.view.ActionPermissions;
import merlinlever.view.FleetView;
import merlinlever.view.GuardedAction;

/**
 * One backend's part in registers that are written once: voter, leader, and one who is told. A leader asks more than half of the
 * voters under its term what they have accepted, proposes the value of the highest term it is told or its own, and the value is
 * written once more than half have accepted it. A voter answers only when what it promises or accepts is on its disk
 * ({@link #keep}); one that comes without its disk votes again only when it has been told by so many others that none of what it
 * may have promised or accepted is missed.
 */
public final class PaxosNode implements WriteOnceRegisters {

    private static final Duration PERIOD = Duration.ofMillis(500);
    /** An unanswered question is put again after so long. */
    private static final Duration AGAIN = Duration.ofMillis(300);
    /** An answer counts for so long after its question, by the leader's clock. */
    private static final Duration COUNTS = Duration.ofSeconds(5);
    /** A voter without its disk asks the others only then: nobody counts an answer of its former life any more, by any clock. */
    private static final Duration FENCE = Duration.ofSeconds(10);
    /** Answers that wait for the disk, at the most; those over it are lost, as any may be. */
    private static final int MOST_WAITING = 1000;

    /** What must be on the disk; {@code version} goes back to {@link #kept}. */
    public record PendingWrite(long version, byte[] octets) {}

    private record DeferredMessage(long version, OutgoingMessage carry) {}

    /** A register that this leader writes now. */
    private static final class Proposal {
        final byte[] mine;
        long term = -1;
        /** Null while voters are asked; then it is never changed within the term. */
        byte[] value;

        final Map<String, PaxosAcceptor.RegisterState> told = new TreeMap<>();
        /** Who has, and when that question was put, in ms of this one's clock. */
        final Map<String, Long> promised = new TreeMap<>(), accepted = new TreeMap<>();

        Duration next;

        Proposal(byte[] mine) {
            this.mine = mine;
        }
    }

    private final String self;
    private final Leadership leadership;
    private final FleetView seen;
    private final Supplier<List<String>> live;
    private final SplittableRandom chance;
    private final Consumer<String> log;
    private final PaxosAcceptor ballots;
    private final Map<String, Proposal> proposals = new TreeMap<>();
    private final ArrayDeque<DeferredMessage> waiting = new ArrayDeque<>();
    private long version, onDisk, keeping;
    private Duration next;
    private final Duration fence;
    /** Whether its disk was found, or others have told what it may have held. */
    private boolean votes;
    /** While it does not: of other voters that told all, whether they vote. */
    private final Map<String, Boolean> toldAll = new TreeMap<>();

    private long malformed, conflicts;

    /** @param found the octets that were kept last, or null where there are none or they are spoilt */
    public PaxosNode(
            Duration now,
            String self,
            byte[] found,
            Leadership leadership,
            FleetView seen,
            Supplier<List<String>> live,
            SplittableRandom chance,
            Consumer<String> log) {
        this.self = self;
        this.leadership = leadership;
        this.seen = seen;
        this.live = live;
        this.chance = chance;
        this.log = log;
        PaxosAcceptor read = found == null ? null : PaxosAcceptor.parsed(found);
        ballots = read == null ? new PaxosAcceptor() : read;
        votes = read != null || leadership.voters().size() == 1;
        next = now;
        fence = now.plus(FENCE);
    }

    /** More than half have answered what was asked lately. */
    private boolean most(Duration now, Map<String, Long> answered) {
        answered.values().removeIf(asked -> now.toMillis() - asked > COUNTS.toMillis());
        return answered.size() > leadership.voters().size() / 2;
    }

    private boolean decides(Duration now) {
        return leadership.isLeader(now)
                && seen.permission(now, GuardedAction.DECIDE) == ActionPermissions.Permission.ALLOWED;
    }

    @Override
    public void propose(Duration now, String name, byte[] value) {
        if (!GossipCodec.fits("-", name) || value.length > PaxosAcceptor.MOST_VALUE) {
            throw new IllegalArgumentException("register " + name + " of " + value.length + " octets");
        }
        if (decides(now) && written(name).isEmpty() && ballots.room(name) && proposals.size() < PaxosAcceptor.MOST) {
            proposals.computeIfAbsent(name, none -> new Proposal(value.clone()));
        }
    }

    @Override
    public Optional<byte[]> written(String name) {
        PaxosAcceptor.RegisterState entry = ballots.get(name);
        return entry != null && entry.written() ? Optional.of(entry.value().clone()) : Optional.empty();
    }

    // ---- the disk

    /** What is to be written now; null where all of it is on the disk, one write is under way, or this voter is not yet told what it lost. */
    public PendingWrite keep() {
        if (version == onDisk
                || keeping > onDisk
                || (!votes && leadership.voters().contains(self))) {
            return null;
        }
        keeping = version;
        return new PendingWrite(version, ballots.octets());
    }

    /** It is on the disk; what waited for that is sent. */
    public List<OutgoingMessage> kept(Duration now, long done) {
        onDisk = Math.max(onDisk, done);
        List<OutgoingMessage> out = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().version <= onDisk) {
            out.add(waiting.poll().carry);
        }
        return own(now, out);
    }

    /** The write went wrong; it is tried again. */
    public void notKept() {
        keeping = onDisk;
    }

    private void afterDisk(String to, RegisterMessage slip) {
        if (waiting.size() < MOST_WAITING) {
            waiting.add(new DeferredMessage(version, new OutgoingMessage(to, slip.octets())));
        }
    }

    // ---- what is to be said

    public List<OutgoingMessage> look(Duration now) {
        List<OutgoingMessage> out = new ArrayList<>();
        if (!decides(now)) {
            // One that was deposed writes nothing; who leads then finishes what was begun.
            proposals.clear();
        } else {
            for (PaxosAcceptor.RegisterState entry : ballots.entries()) {
                if (!entry.written()) {
                    proposals.computeIfAbsent(entry.name(), none -> new Proposal(entry.value()));
                }
            }
            proposals.forEach((name, proposal) -> lead(now, name, proposal, out));
        }
        if (now.compareTo(next) >= 0) {
            next = now.plus(PERIOD);
            List<String> others = live.get();
            if (!others.isEmpty()) {
                out.add(carry(
                        others.get(chance.nextInt(others.size())),
                        RegisterMessage.Kind.KNOWN,
                        0,
                        ballots.mark(),
                        "",
                        List.of()));
            }
            if (leadership.voters().contains(self) && !votes && now.compareTo(fence) >= 0) {
                leadership.voters().stream()
                        .filter(voter -> !voter.equals(self))
                        .forEach(voter ->
                                out.add(carry(voter, RegisterMessage.Kind.ASK, 0, now.toMillis(), "", List.of())));
            }
        }
        return own(now, out);
    }

    private void lead(Duration now, String name, Proposal proposal, List<OutgoingMessage> out) {
        if (proposal.term != leadership.term()) {
            proposal.term = leadership.term();
            proposal.value = null;
            proposal.told.clear();
            proposal.promised.clear();
            proposal.accepted.clear();
            proposal.next = now;
        }
        if (now.compareTo(proposal.next) >= 0) {
            proposal.next = now.plus(AGAIN);
            most(now, proposal.promised);
            most(now, proposal.accepted);
            for (String voter : leadership.voters()) {
                if (proposal.value == null
                        ? !proposal.promised.containsKey(voter)
                        : !proposal.accepted.containsKey(voter)) {
                    out.add(
                            proposal.value == null
                                    ? carry(
                                            voter,
                                            RegisterMessage.Kind.PREPARE,
                                            proposal.term,
                                            now.toMillis(),
                                            name,
                                            List.of())
                                    : carry(
                                            voter,
                                            RegisterMessage.Kind.ACCEPT,
                                            proposal.term,
                                            now.toMillis(),
                                            name,
                                            List.of(new PaxosAcceptor.RegisterState(
                                                    name, proposal.term, proposal.value, false))));
                }
            }
        }
    }

    private static OutgoingMessage carry(
            String to,
            RegisterMessage.Kind kind,
            long term,
            long number,
            String name,
            List<PaxosAcceptor.RegisterState> entries) {
        return new OutgoingMessage(to, new RegisterMessage(kind, term, number, name, entries).octets());
    }

    /** What goes to this one itself needs no network. */
    private List<OutgoingMessage> own(Duration now, List<OutgoingMessage> all) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (OutgoingMessage each : all) {
            if (each.to().equals(self)) {
                out.addAll(came(now, self, each.body()));
            } else {
                out.add(each);
            }
        }
        return out;
    }

    // ---- what is said

    public List<OutgoingMessage> came(Duration now, String from, byte[] body) {
        RegisterMessage slip = RegisterMessage.read(body);
        boolean one = slip != null
                && slip.entries().size() == 1
                && slip.entries().get(0).name().equals(slip.name());
        if (slip == null
                || ((slip.kind() == RegisterMessage.Kind.ACCEPT || slip.kind() == RegisterMessage.Kind.WRITTEN) && !one)
                || (slip.kind() == RegisterMessage.Kind.PROMISED
                        && !one
                        && !slip.entries().isEmpty())) {
            malformed++;
            return List.of();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        switch (slip.kind()) {
            case PREPARE, ACCEPT -> asked(from, slip, out);
            case PROMISED -> promised(now, from, slip, out);
            case ACCEPTED -> accepted(now, from, slip, out);
            case WRITTEN -> learn(slip.entries().get(0));
            case KNOWN -> {
                if (slip.number() != ballots.mark()) {
                    out.add(carry(from, RegisterMessage.Kind.ASK, 0, now.toMillis(), "", List.of()));
                }
            }
            case ASK -> {
                // Told only once it is on the disk: who asks may take its own vote from it.
                List<PaxosAcceptor.RegisterState> page = ballots.page(slip.name(), RegisterMessage.PAGE);
                boolean last = page.isEmpty()
                        || ballots.page(page.get(page.size() - 1).name(), RegisterMessage.PAGE)
                                .isEmpty();
                afterDisk(
                        from,
                        new RegisterMessage(
                                RegisterMessage.Kind.PAGE,
                                ballots.promised(),
                                slip.number() << 2 | (votes ? 1 : 0) | (last ? 2 : 0),
                                slip.name(),
                                page));
                if (version == onDisk) {
                    out.addAll(kept(now, onDisk));
                }
            }
            case PAGE -> page(from, slip, out);
            default -> {}
        }
        return own(now, out);
    }

    private void asked(String from, RegisterMessage slip, List<OutgoingMessage> out) {
        if (!leadership.voters().contains(self) || !votes) {
            return;
        }
        boolean prepare = slip.kind() == RegisterMessage.Kind.PREPARE;
        long promisedBefore = ballots.promised();
        PaxosAcceptor.RegisterState before = ballots.get(slip.name());
        if (!(prepare
                ? ballots.promise(slip.term())
                : ballots.accept(slip.term(), slip.name(), slip.entries().get(0).value()))) {
            out.add(carry(from, RegisterMessage.Kind.REFUSED, ballots.promised(), 0, slip.name(), List.of()));
            return;
        }
        PaxosAcceptor.RegisterState entry = ballots.get(slip.name());
        version += promisedBefore == ballots.promised() && before == entry ? 0 : 1;
        afterDisk(
                from,
                prepare
                        ? new RegisterMessage(
                                RegisterMessage.Kind.PROMISED,
                                slip.term(),
                                slip.number(),
                                slip.name(),
                                entry == null ? List.of() : List.of(entry))
                        : new RegisterMessage(
                                RegisterMessage.Kind.ACCEPTED, slip.term(), slip.number(), slip.name(), List.of()));
        if (version == onDisk) {
            while (!waiting.isEmpty()) {
                out.add(waiting.poll().carry);
            }
        }
    }

    private void promised(Duration now, String from, RegisterMessage slip, List<OutgoingMessage> out) {
        Proposal proposal = proposals.get(slip.name());
        if (proposal == null
                || slip.term() != proposal.term
                || proposal.value != null
                || !leadership.voters().contains(from)
                || !decides(now)) {
            return;
        }
        proposal.promised.put(from, slip.number());
        slip.entries().forEach(entry -> {
            proposal.told.put(from, entry);
            if (entry.written()) {
                learn(entry);
            }
        });
        if (written(slip.name()).isPresent()) {
            proposals.remove(slip.name());
        } else if (most(now, proposal.promised)) {
            proposal.value = PaxosAcceptor.safe(proposal.told.values(), proposal.mine);
            proposal.next = now;
            lead(now, slip.name(), proposal, out);
        }
    }

    private void accepted(Duration now, String from, RegisterMessage slip, List<OutgoingMessage> out) {
        Proposal proposal = proposals.get(slip.name());
        if (proposal == null
                || slip.term() != proposal.term
                || proposal.value == null
                || !leadership.voters().contains(from)
                || !decides(now)) {
            return;
        }
        proposal.accepted.put(from, slip.number());
        if (most(now, proposal.accepted)) {
            proposals.remove(slip.name());
            PaxosAcceptor.RegisterState entry =
                    new PaxosAcceptor.RegisterState(slip.name(), slip.term(), proposal.value, true);
            learn(entry);
            live.get()
                    .forEach(other -> out.add(
                            carry(other, RegisterMessage.Kind.WRITTEN, slip.term(), 0, slip.name(), List.of(entry))));
        }
    }

    private void learn(PaxosAcceptor.RegisterState entry) {
        if (written(entry.name())
                .filter(known -> Arrays.equals(known, entry.value()))
                .isPresent()) {
            return;
        }
        if (!ballots.written(entry.name(), entry.value())) {
            if (conflicts++ == 0) {
                log.accept("register " + entry.name()
                        + " is told with another value than the one that was written; it is not taken");
            }
            return;
        }
        version++;
        proposals.remove(entry.name());
    }

    private void page(String from, RegisterMessage slip, List<OutgoingMessage> out) {
        boolean last = (slip.number() & 2) != 0;
        slip.entries().stream()
                .filter(PaxosAcceptor.RegisterState::written)
                .filter(entry -> written(entry.name()).isEmpty())
                .forEach(this::learn);
        if (!last && !slip.entries().isEmpty()) {
            out.add(carry(
                    from,
                    RegisterMessage.Kind.ASK,
                    0,
                    slip.number() >> 2,
                    slip.entries().get(slip.entries().size() - 1).name(),
                    List.of()));
        }
        if (votes
                || !leadership.voters().contains(self)
                || !leadership.voters().contains(from)
                || slip.number() >> 2 < fence.toMillis()) {
            return;
        }
        ballots.recovered(slip.term(), slip.entries());
        version++;
        if (last) {
            toldAll.put(from, (slip.number() & 1) != 0);
        }
        int voters = leadership.voters().size();
        long voting = toldAll.values().stream().filter(its -> its).count();
        // So many others that one of them is in every majority that this one was in; or all others, as at the first
        // start of a fleet.
        if (voting > voters - (voters / 2 + 1) || toldAll.size() == voters - 1) {
            votes = true;
            log.accept("has been told by " + toldAll.size() + " of " + (voters - 1) + " other voters, " + voting
                    + " of which vote; votes on registers");
        }
    }

    /** For operators, as a JSON object. */
    public String json() {
        long written = ballots.entries().stream()
                .filter(PaxosAcceptor.RegisterState::written)
                .count();
        return "{\"written\":" + written + ",\"begun\":" + (ballots.entries().size() - written) + ",\"term\":"
                + ballots.promised() + ",\"votes\":"
                + (votes && leadership.voters().contains(self)) + ",\"conflicts\":" + conflicts + ",\"malformed\":"
                + malformed + "}";
    }
}
