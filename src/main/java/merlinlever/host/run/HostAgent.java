package merlinlever.host.run;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.EventLoop;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.disk.InstanceLedger.InstanceRecord;
import merlinlever.host.run.OsProcesses.ProcessIdentity;
import merlinlever.host.state.InstanceStatus;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.InstanceSupervisor.InstanceState;
import merlinlever.host.state.OrderTracker;
import merlinlever.host.state.OutlierDetector;
import merlinlever.host.state.SupervisorSettings;

/**
 * Supervises the instances of one machine: performs the actions that the supervisors decide on, and reports process
 * and status events to the supervisors. Instances are identified by their index in the configuration. All methods are
 * called on the thread of the event loop.
 */
public final class HostAgent {

    private static final Duration SUPERVISION_PERIOD = Duration.ofMillis(100);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    private final EventLoop loop;
    private final InstanceLedger ledger;
    private final List<HostedInstance> instances;
    private final OrderTracker orders;
    private final OutlierDetector outlierDetector;
    private final PauseDetector pauseDetector = new PauseDetector();
    private final EventHistory history = new EventHistory();
    private final SplittableRandom random;
    private final Duration launchSpread;
    private final EventLog log;
    private boolean ledgerFailed;

    /**
     * Adopts the processes that a previous agent launched, and starts supervision.
     *
     * @param launchSpread the initial launches are spread at random over this time, which avoids a load peak
     */
    public HostAgent(
            EventLoop loop,
            InstanceLedger ledger,
            List<InstanceSpec> specs,
            SupervisorSettings settings,
            Duration launchSpread,
            SplittableRandom random,
            EventLog log) {
        this.loop = loop;
        this.ledger = ledger;
        this.random = random;
        this.log = log;
        this.launchSpread = launchSpread;
        instances = specs.stream()
                .map(spec -> new HostedInstance(
                        spec,
                        new InstanceSupervisor(
                                settings, spec.managementAddress().isPresent())))
                .toList();
        orders = new OrderTracker(
                instances.stream().map(HostedInstance::supervisor).toList());
        outlierDetector = new OutlierDetector(instances.size());
        instances.forEach(this::recover);
        loop.runNowAndEvery(SUPERVISION_PERIOD, this::superviseAll);
        loop.runNowAndEvery(POLL_PERIOD, this::pollAll);
    }

    private Duration now() {
        return loop.clock().now();
    }

    // ---- recovery after a restart of the agent

    /**
     * Adopts the process of the instance if one exists, which avoids a second launch; otherwise starts a desired
     * instance.
     */
    private void recover(HostedInstance instance) {
        InstanceRecord recorded = ledger.recordOf(instance.name());
        Optional<ProcessIdentity> process = findProcess(recorded);
        if (process.isPresent()) {
            adopt(instance, recorded, process.get());
            return;
        }
        boolean isNew = recorded.equals(InstanceRecord.NONE);
        if (isNew ? instance.spec().launchedInitially() : recorded.desired()) {
            Duration delay = Duration.ofNanos(random.nextLong(launchSpread.toNanos() + 1));
            instance.supervisor().startAfter(now(), delay);
        }
    }

    private static Optional<ProcessIdentity> findProcess(InstanceRecord recorded) {
        if (recorded.pid() != 0) {
            ProcessIdentity process = new ProcessIdentity(recorded.pid(), recorded.startTicks());
            if (OsProcesses.isAlive(process)) {
                return Optional.of(process);
            }
        }
        // The previous agent may have stopped after the launch and before recording the pid.
        return recorded.token().isEmpty() ? Optional.empty() : OsProcesses.findByToken(recorded.token());
    }

    private void adopt(HostedInstance instance, InstanceRecord recorded, ProcessIdentity process) {
        instance.setProcess(Optional.of(process));
        InstanceSupervisor supervisor = instance.supervisor();
        supervisor.processStarted(now());
        addEvent(instance, "adopted, pid " + process.pid());
        if (recorded.desired()) {
            supervisor.start(now());
        } else {
            supervisor.drain();
        }
        updateRecord(instance, record -> record.withProcess(process.pid(), process.startTicks()));
    }

    /** Updates the record of the instance and returns whether the update is on disk. */
    private boolean updateRecord(HostedInstance instance, UnaryOperator<InstanceRecord> change) {
        try {
            ledger.update(instance.name(), change.apply(ledger.recordOf(instance.name())));
            if (ledgerFailed) {
                log.write(LogEvent.info("state-writable-again"));
            }
            ledgerFailed = false;
            return true;
        } catch (IOException e) {
            if (!ledgerFailed) {
                // The operations manual quotes this message.
                log.write(LogEvent.info("the state cannot be written: " + e.getMessage()
                        + "; nothing is launched and no order taken until it can"));
            }
            ledgerFailed = true;
            return false;
        }
    }

    private void addEvent(HostedInstance instance, String text) {
        history.add(now(), instance.name(), text);
        log.write(LogEvent.info("instance-event")
                .with("instance", instance.name())
                .with("what", text));
    }

    // ---- supervision

    private void superviseAll() {
        // Orders that arrived during the pause are rejected.
        pauseDetector
                .recordRun(now())
                .ifPresent(pause -> log.write(LogEvent.info("agent-was-paused").with("pause_ms", pause.toMillis())));
        instances.forEach(this::supervise);
        orders.updateProgress(now());
    }

    private void supervise(HostedInstance instance) {
        instance.process()
                .filter(process -> !OsProcesses.isAlive(process))
                .ifPresent(process -> processEnded(instance, process));
        switch (instance.supervisor().nextAction(now())) {
            case LAUNCH -> launch(instance);
            case DRAIN -> {
                addEvent(instance, "drain requested");
                instance.process().ifPresent(OsProcesses::terminate);
            }
            case KILL -> {
                addEvent(instance, "killed");
                instance.process().ifPresent(OsProcesses::kill);
            }
            case NONE -> {}
        }
        recordStateChange(instance);
    }

    private void processEnded(HostedInstance instance, ProcessIdentity process) {
        instance.setProcess(Optional.empty());
        addEvent(instance, "exited, pid " + process.pid());
        instance.supervisor().processEnded(now(), "process " + process.pid() + " exited");
    }

    private void recordStateChange(HostedInstance instance) {
        InstanceState state = instance.supervisor().state(now());
        Optional<InstanceState> previous = instance.recordedState();
        if (previous.isPresent() && previous.get() == state) {
            return;
        }
        String reason = instance.supervisor().reason(now());
        String transition = previous.map(earlier -> earlier.wireName() + " -> ").orElse("");
        addEvent(instance, transition + state.wireName() + (reason.isEmpty() ? "" : ": " + reason));
        instance.setRecordedState(state);
    }

    /**
     * Records the launch token and launches a process. After a crash of the agent, the next agent finds the process by
     * its token.
     */
    private void launch(HostedInstance instance) {
        InstanceSupervisor supervisor = instance.supervisor();
        String token = String.format("%016x%016x", random.nextLong(), random.nextLong());
        if (!updateRecord(instance, record -> InstanceRecord.launching(token))) {
            supervisor.launchFailed(now(), "the state cannot be written");
            return;
        }
        try {
            ProcessIdentity process = OsProcesses.launch(instance.spec(), token);
            instance.setProcess(Optional.of(process));
            supervisor.processStarted(now());
            addEvent(instance, "launched, pid " + process.pid());
            // If the update fails, the process can still be found by its token.
            updateRecord(instance, record -> record.withProcess(process.pid(), process.startTicks()));
        } catch (IOException e) {
            supervisor.launchFailed(now(), e.getMessage());
            addEvent(instance, "launch failed: " + e.getMessage());
        }
    }

    // ---- status polls

    private void pollAll() {
        double[] capacities = new double[instances.size()];
        for (int i = 0; i < capacities.length; i++) {
            HostedInstance instance = instances.get(i);
            capacities[i] = comparableCapacity(instance.supervisor());
            LogRotation.rotateIfTooLong(instance.spec());
            poll(instance);
        }
        outlierDetector.addSample(capacities);
        for (int i = 0; i < capacities.length; i++) {
            instances.get(i).supervisor().setOutlier(outlierDetector.isOutlier(i));
        }
    }

    /** Returns NaN if the instance is not warm or its capacity is unknown. */
    private double comparableCapacity(InstanceSupervisor supervisor) {
        if (supervisor.state(now()) == InstanceState.UNREACHABLE) {
            return Double.NaN;
        }
        return supervisor
                .lastStatus()
                .filter(InstanceStatus::reportsWarm)
                .map(InstanceStatus::capacity)
                .orElse(Double.NaN);
    }

    private void poll(HostedInstance instance) {
        Optional<ProcessIdentity> polledProcess = instance.process();
        if (polledProcess.isEmpty() || instance.spec().managementAddress().isEmpty() || instance.isPollInFlight()) {
            return;
        }
        instance.setPollInFlight(true);
        StatusPoll.ofInstance(loop, instance.spec().managementAddress().get(), reply -> {
            instance.setPollInFlight(false);
            // Ignores a status report if the process was replaced after the poll began.
            if (polledProcess.equals(instance.process())) {
                reply.ifPresent(status -> instance.supervisor().statusReceived(now(), status));
            }
        });
    }

    // ---- orders and reports

    /**
     * Applies an order once per id. Returns empty if the order cannot be recorded on disk; an order that was recorded
     * for only some of its instances is not applied to any of them.
     *
     * @param immediate whether a drain or stop order kills the instances instead of draining them
     */
    public Optional<OrderTracker.Order> accept(
            String id, OrderTracker.OrderVerb verb, boolean immediate, List<Integer> indexes) {
        if (orders.find(id).isEmpty()) {
            for (int index : indexes) {
                if (!updateRecord(instances.get(index), record -> record.withDesired(verb.desiresInstance()))) {
                    return Optional.empty();
                }
            }
            String event = verb.wireName() + (immediate ? " (immediate)" : "") + " ordered, id " + id;
            indexes.forEach(index -> addEvent(instances.get(index), event));
        }
        return Optional.of(orders.accept(now(), id, verb, immediate, indexes));
    }

    /** Returns the order with the given id, or empty for an unknown id. */
    public Optional<OrderTracker.Order> findOrder(String id) {
        return orders.find(id);
    }

    /** Returns whether another order can be accepted. */
    public boolean hasOrderCapacity() {
        return orders.hasCapacity();
    }

    /**
     * Returns whether input read now may have been sent while the agent was paused, and may have timed out at its
     * sender.
     */
    public boolean mayInputBeStale() {
        return pauseDetector.mayInputBeStale(now());
    }

    /** Returns the configuration of all instances, in the order of their indexes. */
    public List<InstanceSpec> specs() {
        return instances.stream().map(HostedInstance::spec).toList();
    }

    /** Returns the supervisor of an instance. */
    public InstanceSupervisor supervisor(int index) {
        return instances.get(index).supervisor();
    }

    /** Returns the process id of an instance, or 0 without a process. */
    public long pid(int index) {
        return instances.get(index).process().map(ProcessIdentity::pid).orElse(0L);
    }

    /** Returns the recent events with a higher number, oldest first. */
    public List<InstanceEvent> eventsAfter(long number) {
        return history.after(number);
    }

    /** Drains all instances before the agent itself stops. */
    public void drainAll() {
        for (HostedInstance instance : instances) {
            instance.supervisor().drain();
            updateRecord(instance, record -> record.withDesired(false));
        }
    }

    /** Returns whether no instance has a process. */
    public boolean areAllDown() {
        return instances.stream().map(HostedInstance::supervisor).noneMatch(InstanceSupervisor::hasProcess);
    }
}
