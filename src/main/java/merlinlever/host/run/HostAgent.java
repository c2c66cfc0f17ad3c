package merlinlever.host.run;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.state.InstanceStatus;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
import merlinlever.host.state.OutlierDetector;

/** Carries out what the keepers decide about the instances of one machine, and tells them what happens. */
public final class HostAgent {

    /** Something that happened, numbered from 1. */
    public record InstanceEvent(long number, Duration at, String instance, String what) {}

    private static final Duration LOOK = Duration.ofMillis(100);
    private static final Duration VISIT = Duration.ofMillis(500);
    private static final int EVENTS = 2000;
    /** Not having looked for so long, the agent was stopped; what is read this long after may be from that time. */
    private static final Duration STALL = Duration.ofSeconds(2), STALE = Duration.ofMillis(500);

    private final EventLoop loop;
    private final InstanceLedger ledger;
    private final List<InstanceSpec> hosted;
    private final List<InstanceSupervisor> keepers = new ArrayList<>();
    private final OrderTracker orders;
    private final OutlierDetector peers;
    private final OsProcesses.ProcessIdentity[] processes;
    private final boolean[] visiting;
    private final InstanceSupervisor.InstanceState[] last;
    private final ArrayDeque<InstanceEvent> events = new ArrayDeque<>();
    private final SplittableRandom chance;
    private final Duration spread;
    private final EventLog log;
    private Duration lastLook;
    private Duration distrustUntil = Duration.ZERO;
    private long numbered;
    private boolean noteFailed;

    /** @param spread those that it launches at its start are launched over so long, so that they do not all begin at once */
    public HostAgent(
            EventLoop loop,
            InstanceLedger ledger,
            List<InstanceSpec> hosted,
            InstanceSupervisor.SupervisorSettings stated,
            Duration spread,
            SplittableRandom chance,
            EventLog log) {
        this.loop = loop;
        this.ledger = ledger;
        this.hosted = List.copyOf(hosted);
        this.chance = chance;
        this.log = log;
        this.spread = spread;
        hosted.forEach(each -> keepers.add(new InstanceSupervisor(stated, each.manage() != null)));
        orders = new OrderTracker(keepers);
        peers = new OutlierDetector(hosted.size());
        processes = new OsProcesses.ProcessIdentity[hosted.size()];
        visiting = new boolean[hosted.size()];
        last = new InstanceSupervisor.InstanceState[hosted.size()];
        takeOver();
        loop.runNowAndEvery(LOOK, this::look);
        loop.runNowAndEvery(VISIT, this::visitAll);
    }

    private Duration now() {
        return loop.clock().now();
    }

    /** What an agent before this one left: running instances are taken over, none is launched twice. */
    private void takeOver() {
        for (int i = 0; i < hosted.size(); i++) {
            InstanceLedger.InstanceRecord noted = ledger.of(hosted.get(i).name());
            OsProcesses.ProcessIdentity found =
                    noted.pid() == 0 ? null : new OsProcesses.ProcessIdentity(noted.pid(), noted.startTicks());
            if (found == null || !OsProcesses.alive(found)) {
                // The last launch may have been made and not been noted any more.
                found = noted.token().isEmpty() ? null : OsProcesses.byToken(noted.token());
            }
            if (found != null) {
                processes[i] = found;
                keepers.get(i).there(now(), now());
                event(i, "taken over, pid " + found.pid());
                if (noted.wanted()) {
                    keepers.get(i).start(now());
                } else {
                    keepers.get(i).leave(now());
                }
                note(
                        i,
                        new InstanceLedger.InstanceRecord(
                                noted.wanted(), noted.token(), found.pid(), found.startTicks()));
            } else if (noted.equals(InstanceLedger.InstanceRecord.NOTHING)
                    ? hosted.get(i).atStart()
                    : noted.wanted()) {
                keepers.get(i).startAfter(now(), Duration.ofNanos(chance.nextLong(spread.toNanos() + 1)));
            }
        }
    }

    private boolean note(int index, InstanceLedger.InstanceRecord noted) {
        try {
            ledger.note(hosted.get(index).name(), noted);
            if (noteFailed) {
                log.line("the state can be written again");
            }
            noteFailed = false;
            return true;
        } catch (IOException e) {
            if (!noteFailed) {
                log.line("the state cannot be written: " + e.getMessage()
                        + "; nothing is launched and no order taken until it can");
            }
            noteFailed = true;
            return false;
        }
    }

    private void event(int index, String what) {
        events.add(new InstanceEvent(++numbered, now(), hosted.get(index).name(), what));
        if (events.size() > EVENTS) {
            events.poll();
        }
        log.line(hosted.get(index).name() + ": " + what);
    }

    private boolean stalled() {
        return lastLook != null && now().minus(lastLook).compareTo(STALL) > 0;
    }

    /** Whether what is read now may have lain there while this agent did not run: whoever sent it may have given it up. */
    public boolean behind() {
        return stalled() || now().compareTo(distrustUntil) < 0;
    }

    // ---- a look at all

    private void look() {
        if (stalled()) {
            distrustUntil = now().plus(STALE);
            log.line("was stopped or held up for " + now().minus(lastLook).toMillis()
                    + " ms; orders that came meanwhile are turned away");
        }
        lastLook = now();
        for (int i = 0; i < hosted.size(); i++) {
            InstanceSupervisor keeper = keepers.get(i);
            if (processes[i] != null && !OsProcesses.alive(processes[i])) {
                long pid = processes[i].pid();
                processes[i] = null;
                event(i, "ended, pid " + pid);
                keeper.ended(now(), "its process " + pid + " ended");
            }
            switch (keeper.settle(now())) {
                case LAUNCH -> launch(i);
                case LEAVE -> {
                    event(i, "told to leave");
                    OsProcesses.signal(processes[i], false);
                }
                case KILL -> {
                    event(i, "killed");
                    OsProcesses.signal(processes[i], true);
                }
                default -> {}
            }
            InstanceSupervisor.InstanceState state = keeper.state(now());
            if (state != last[i]) {
                event(
                        i,
                        (last[i] == null ? "" : last[i].wireName() + " -> ")
                                + state.wireName()
                                + (keeper.why(now()).isEmpty() ? "" : ": " + keeper.why(now())));
                last[i] = state;
            }
        }
        orders.look(now());
    }

    private Path logFile(int index) {
        return hosted.get(index).folder().resolve(hosted.get(index).name() + ".log");
    }

    private void launch(int index) {
        InstanceSpec one = hosted.get(index);
        InstanceSupervisor keeper = keepers.get(index);
        String token = String.format("%016x%016x", chance.nextLong(), chance.nextLong());
        // Noted before it is made: an agent that dies in between finds it by its token.
        if (!note(index, new InstanceLedger.InstanceRecord(true, token, 0, 0))) {
            keeper.launchFailed(now(), "the state cannot be written");
            return;
        }
        try {
            Files.createDirectories(one.folder());
            OsProcesses.ProcessIdentity made =
                    OsProcesses.launch(one.command(), one.environment(), token, one.folder(), logFile(index));
            processes[index] = made;
            keeper.there(now(), now());
            event(index, "launched, pid " + made.pid());
            // If this is not noted, the token still leads to it.
            note(index, new InstanceLedger.InstanceRecord(true, token, made.pid(), made.startTicks()));
        } catch (IOException e) {
            keeper.launchFailed(now(), e.getMessage());
            event(index, "cannot be launched: " + e.getMessage());
        }
    }

    private void visitAll() {
        double[] capacity = new double[hosted.size()];
        for (int i = 0; i < hosted.size(); i++) {
            InstanceSupervisor keeper = keepers.get(i);
            InstanceStatus told = keeper.told();
            boolean counts = told != null
                    && told.phase().equals("warm")
                    && keeper.state(now()) != InstanceSupervisor.InstanceState.UNREACHED;
            capacity[i] = counts ? told.capacity() : Double.NaN;
            cutLog(i);
            if (processes[i] != null && hosted.get(i).manage() != null && !visiting[i]) {
                visiting[i] = true;
                int index = i;
                OsProcesses.ProcessIdentity asked = processes[i];
                StatusPoll.instance(loop, hosted.get(i).manage(), answer -> {
                    visiting[index] = false;
                    // An answer of one that is gone says nothing of the next.
                    if (answer != null && asked.equals(processes[index])) {
                        keeper.told(now(), answer);
                    }
                });
            }
        }
        peers.look(capacity);
        for (int i = 0; i < hosted.size(); i++) {
            keepers.get(i).slow(peers.slow(i));
        }
    }

    /** The instance goes on writing to the end of its file, wherever that is: so it can be copied and cut under it. */
    private void cutLog(int index) {
        Path file = logFile(index);
        try {
            if (Files.exists(file) && Files.size(file) > hosted.get(index).logBytes()) {
                Files.copy(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
                try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                    channel.truncate(0);
                }
            }
        } catch (IOException e) {
            // Tried again at the next look.
        }
    }

    // ---- orders and questions

    /** Takes an order, or returns null where it cannot be noted. */
    public OrderTracker.Order order(String id, OrderTracker.OrderVerb verb, boolean atOnce, List<Integer> instances) {
        if (orders.find(id) == null) {
            boolean wanted = verb == OrderTracker.OrderVerb.START || verb == OrderTracker.OrderVerb.RESTART;
            for (int index : instances) {
                InstanceLedger.InstanceRecord before =
                        ledger.of(hosted.get(index).name());
                if (!note(
                        index,
                        new InstanceLedger.InstanceRecord(wanted, before.token(), before.pid(), before.startTicks()))) {
                    return null;
                }
            }
            instances.forEach(index -> event(index, verb.wireName() + (atOnce ? " at once" : "") + " ordered, " + id));
        }
        return orders.take(now(), id, verb, atOnce, instances);
    }

    public OrderTracker.Order find(String id) {
        return orders.find(id);
    }

    public boolean room() {
        return orders.room();
    }

    public List<InstanceSpec> hosted() {
        return hosted;
    }

    public InstanceSupervisor keeper(int index) {
        return keepers.get(index);
    }

    /** Of the process, or 0. */
    public long pid(int index) {
        return processes[index] == null ? 0 : processes[index].pid();
    }

    public List<InstanceEvent> events(long after) {
        return events.stream().filter(event -> event.number > after).toList();
    }

    /** All are told to leave; for an agent that is asked to take its instances with it. */
    public void drainAll() {
        for (int i = 0; i < hosted.size(); i++) {
            keepers.get(i).leave(now());
            InstanceLedger.InstanceRecord before = ledger.of(hosted.get(i).name());
            note(i, new InstanceLedger.InstanceRecord(false, before.token(), before.pid(), before.startTicks()));
        }
    }

    public boolean allDown() {
        return keepers.stream().noneMatch(InstanceSupervisor::there);
    }
}
