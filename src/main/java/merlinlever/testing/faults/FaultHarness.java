package merlinlever.testing.faults;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import merlinlever.testing.faults.audit.AgreementAudit;
import merlinlever.testing.faults.disk.CrashStates;
import merlinlever.testing.faults.disk.StateRestorer;
import merlinlever.testing.faults.link.LinkFaults;
import merlinlever.testing.faults.process.ManagedProcesses;
import merlinlever.testing.faults.script.FaultScript;

/**
 * Plays a script of faults on a fleet of agents in real time, then heals all, resumes and starts again what it stopped,
 * and audits from outside whether the agents agree with what is so. A run that fails tells its seed and every step played,
 * so that the same faults come again in the same order.
 */
public final class FaultHarness {

    /** How a play ended. */
    public record HarnessResult(long seed, List<String> played, List<String> breaches, Duration agreedAfter) {
        public boolean passed() {
            return breaches.isEmpty();
        }

        /** In a few lines: the seed, and for a failure each step and each breach. */
        public String told() {
            StringBuilder text = new StringBuilder((passed() ? "passed" : "FAILED") + ", seed " + Long.toHexString(seed)
                    + ", " + played.size() + " steps");
            if (passed()) {
                text.append(", agreed ").append(agreedAfter.toMillis()).append(" ms after the faults");
            } else {
                played.forEach(step -> text.append("\n  played ").append(step));
                breaches.forEach(breach -> text.append("\n  breach: ").append(breach));
            }
            return text.toString();
        }
    }

    private static final Duration TERM = Duration.ofSeconds(15);
    private static final Duration LOOK = Duration.ofMillis(500);

    private final AgentFleet fleet;
    private final Consumer<String> log;
    private final boolean[] powered;
    private final SplittableRandom chance;

    public FaultHarness(AgentFleet fleet, long seed, Consumer<String> log) {
        this.fleet = fleet;
        this.log = log;
        powered = new boolean[fleet.count()];
        chance = new SplittableRandom(seed ^ 0x5eedL);
    }

    /** Starts every agent and waits until each answers. */
    public void startAll(Duration patience) throws IOException, InterruptedException {
        for (int i = 0; i < fleet.count(); i++) {
            fleet.start(i);
        }
        long until = System.nanoTime() + patience.toNanos();
        for (int i = 0; i < fleet.count(); i++) {
            while (!fleet.answers(i)) {
                if (System.nanoTime() > until) {
                    throw new IOException(fleet.name(i) + " did not answer within " + patience.toMillis() + " ms; see "
                            + fleet.processes().log(fleet.name(i)));
                }
                Thread.sleep(50);
            }
        }
    }

    public HarnessResult play(FaultScript.FaultPlan plan) throws IOException, InterruptedException {
        List<String> played = new ArrayList<>();
        long begun = System.nanoTime();
        for (FaultScript.FaultStep step : plan.steps()) {
            long wait = step.at().toNanos() - (System.nanoTime() - begun);
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
            apply(step);
            played.add(step.toYaml());
            log.accept("played " + step.toYaml());
        }
        long rest = plan.length().toNanos() - (System.nanoTime() - begun);
        if (rest > 0) {
            Thread.sleep(rest / 1_000_000);
        }
        fleet.links(LinkFaults::heal);
        for (int i = 0; i < fleet.count(); i++) {
            String name = fleet.name(i);
            if (fleet.processes().state(name) == ManagedProcesses.ProcessState.PAUSED) {
                fleet.processes().resume(name);
            }
            if (fleet.processes().state(name) == ManagedProcesses.ProcessState.ENDED) {
                restart(i);
            }
        }
        long healed = System.nanoTime();
        List<String> breaches;
        do {
            Thread.sleep(LOOK.toMillis());
            breaches = audit();
        } while (!breaches.isEmpty()
                && System.nanoTime() - healed < plan.settle().toNanos());
        return new HarnessResult(plan.seed(), played, breaches, Duration.ofNanos(System.nanoTime() - healed));
    }

    /** What each running agent says of the others against which run; one that cannot be asked is a breach too. */
    public List<String> audit() {
        List<AgreementAudit.ReportedStatus> said = new ArrayList<>();
        List<String> breaches = new ArrayList<>();
        for (int i = 0; i < fleet.count(); i++) {
            if (fleet.running().get(fleet.name(i))) {
                try {
                    said.addAll(fleet.said(i, Duration.ofSeconds(3)));
                } catch (IOException e) {
                    breaches.add(fleet.name(i) + " runs and cannot be asked: " + e.getMessage());
                }
            }
        }
        breaches.addAll(AgreementAudit.findViolations(fleet.running(), said));
        return breaches;
    }

    private List<Integer> who(List<Integer> who) {
        return who.isEmpty() ? all(fleet.count()) : who;
    }

    private void apply(FaultScript.FaultStep step) throws IOException, InterruptedException {
        ManagedProcesses processes = fleet.processes();
        switch (step.kind()) {
            case KILL, POWER -> {
                for (int i : who(step.targets())) {
                    if (processes.state(fleet.name(i)) != ManagedProcesses.ProcessState.ENDED) {
                        processes.kill(fleet.name(i));
                        powered[i] = step.kind() == FaultScript.FaultKind.POWER;
                    }
                }
            }
            case TERM -> {
                for (int i : who(step.targets())) {
                    if (processes.state(fleet.name(i)) != ManagedProcesses.ProcessState.ENDED
                            && !processes.terminate(fleet.name(i), TERM)) {
                        log.accept(fleet.name(i) + " did not end within " + TERM.toMillis() + " ms of SIGTERM; killed");
                        processes.kill(fleet.name(i));
                    }
                }
            }
            case PAUSE, RESUME -> {
                for (int i : who(step.targets())) {
                    ManagedProcesses.ProcessState seen = processes.state(fleet.name(i));
                    if (step.kind() == FaultScript.FaultKind.PAUSE && seen == ManagedProcesses.ProcessState.RUNNING) {
                        processes.pause(fleet.name(i));
                    } else if (step.kind() == FaultScript.FaultKind.RESUME
                            && seen == ManagedProcesses.ProcessState.PAUSED) {
                        processes.resume(fleet.name(i));
                    }
                }
            }
            case RESTART -> {
                for (int i : who(step.targets())) {
                    if (processes.state(fleet.name(i)) == ManagedProcesses.ProcessState.ENDED) {
                        restart(i);
                    }
                }
            }
            default -> fleet.links(links -> change(links, step));
        }
    }

    private static void change(LinkFaults links, FaultScript.FaultStep step) {
        int n = links.members();
        List<Integer> who = step.targets().isEmpty() ? all(n) : step.targets();
        List<Integer> to = step.peers().isEmpty() ? all(n) : step.peers();
        switch (step.kind()) {
            case ISOLATE -> who.forEach(member -> links.isolate(member, step.oneWay()));
            case PARTITION -> links.partition(
                    step.sides().stream().map(Set::copyOf).toList());
            case HEAL -> links.heal();
            default -> {
                for (int from : who) {
                    for (int other : to) {
                        if (from == other) {
                            continue;
                        }
                        switch (step.kind()) {
                            case DELAY -> links.setBothWays(
                                    from, other, LinkFaults.LinkFault.delayed(step.delay(), step.jitter()));
                            case DROP -> links.setBothWays(from, other, LinkFaults.LinkFault.lossy(step.share()));
                            case DUPLICATE -> links.setBothWays(
                                    from,
                                    other,
                                    new LinkFaults.LinkFault(0, step.share(), Duration.ZERO, Duration.ZERO, 0, false));
                            case SLOW -> links.setBothWays(from, other, LinkFaults.LinkFault.slow(step.bytes()));
                            case RESET -> links.reset(from, other);
                            default -> throw new IllegalArgumentException("not a fault of links: " + step.kind());
                        }
                    }
                }
            }
        }
    }

    private static List<Integer> all(int n) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(i);
        }
        return all;
    }

    /** Starts it again; after a power loss, on a state of its folders that the loss may have left, drawn from the seed. */
    private void restart(int i) throws IOException {
        if (powered[i]) {
            powered[i] = false;
            Path records = fleet.records(i);
            if (Files.isDirectory(records)) {
                try (Stream<Path> files = Files.list(records)) {
                    for (Path record : files.sorted().toList()) {
                        lay(record, chance, log);
                    }
                }
            }
        }
        fleet.processes().restart(fleet.name(i));
    }

    /** Lays the folder that the record is of as a power loss may have left it, drawn. */
    static void lay(Path record, SplittableRandom chance, Consumer<String> log) throws IOException {
        try {
            CrashStates states = CrashStates.parse(Files.readString(record, StandardCharsets.US_ASCII));
            // Where all was forced, what a kill leaves is all that a power loss may leave.
            List<CrashStates.CrashState> last = states.finalStates();
            if (states.directory() != null && !last.isEmpty()) {
                CrashStates.CrashState state = last.get(chance.nextInt(last.size()));
                StateRestorer.restore(Path.of(states.directory()), state);
                log.accept("laid " + states.directory() + " as after a power loss: " + state.description());
            }
        } catch (CrashStates.MalformedRecordingException e) {
            throw new IOException(record + ": " + e.getMessage(), e);
        }
    }
}
