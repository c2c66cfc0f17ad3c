package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import merlinlever.common.WireNamed;

/**
 * State machine of one instance: decides when to launch, drain or kill the process, and reports the state of the
 * instance. An instance whose process exists but does not answer is unreachable; no second process is launched for the
 * instance. The supervisor performs no I/O and has no thread or clock: the agent reports each event with the current
 * time, and carries out the actions.
 */
public final class InstanceSupervisor {

    /** State of an instance as reported to operators. */
    public enum InstanceState implements WireNamed {
        /** No process exists: the instance is stopped, or its next launch is due later. */
        DOWN("down"),
        /** A process exists, but instances of this kind do not report their status. */
        UNMONITORED("there"),
        /** The process is being launched, is starting, or has not reported its status yet. */
        STARTING("starting"),
        /** The instance reports that it is warming up. */
        COLD("cold"),
        /** The instance reports that it serves requests at full speed. */
        WARM("warm"),
        /** The instance is warm, but its capacity is far below the capacity of its peers. */
        SLOW("slow"),
        /** The instance reports that its executions make no progress. */
        HUNG("hung"),
        /** The instance answers the requests it has read, then exits. */
        DRAINING("draining"),
        /** The process exists, but has not reported its status within the timeout. */
        UNREACHABLE("unreached"),
        /** The instance crashed too often; only an operator can start it again. */
        GIVEN_UP("given_up");

        private final String wireName;

        InstanceState(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Action that the agent performs on the process. */
    public enum SupervisorAction {
        NONE,
        /** Launch a process, then call {@link #processStarted} or {@link #launchFailed}. */
        LAUNCH,
        /** Ask the process to shut down gracefully. */
        DRAIN,
        /** Kill the process immediately. */
        KILL
    }

    private enum DesiredState {
        STOPPED,
        RUNNING
    }

    /** Lifecycle of the process. DRAINING and KILLING last until the process has exited. */
    private enum ProcessState {
        STOPPED,
        /** {@link SupervisorAction#LAUNCH} was returned; the result of the launch is not reported yet. */
        STARTING,
        RUNNING,
        DRAINING,
        KILLING,
        /** The process crashed too often; {@link InstanceSupervisor#start} allows the next launch. */
        GIVEN_UP;

        boolean hasProcess() {
            return this == RUNNING || this == DRAINING || this == KILLING;
        }

        boolean isEnding() {
            return this == DRAINING || this == KILLING;
        }
    }

    /** Number of status timeouts within which a new process has to send its first status report. */
    private static final int FIRST_STATUS_TIMEOUTS = 4;

    private final SupervisorSettings settings;
    private final boolean reportsStatus;
    private DesiredState desiredState = DesiredState.STOPPED;
    private ProcessState processState = ProcessState.STOPPED;
    /** Whether the action of the current process state has not been returned by {@link #nextAction} yet. */
    private boolean actionPending;

    private Duration nextLaunchAt = Duration.ZERO;
    private Duration backoff;
    private final ArrayDeque<Duration> recentCrashes = new ArrayDeque<>();
    private String lastEnd = "";
    private long launches;
    /** Start time of the last process; null before the first process. */
    private Duration startedAt;
    /** Last status report of the current process; null before its first report. */
    private InstanceStatus lastStatus;
    /** Time of the last status report of the last process; null before its first report. */
    private Duration lastStatusAt;

    private boolean outlier;

    /**
     * Creates a supervisor of an instance that is stopped and has no process.
     *
     * @param reportsStatus whether instances of this kind report their status
     */
    public InstanceSupervisor(SupervisorSettings settings, boolean reportsStatus) {
        this.settings = settings;
        this.reportsStatus = reportsStatus;
        backoff = settings.initialBackoff();
    }

    // ---- orders

    /**
     * Sets the desired state to running. An instance that is draining is launched again after its process has exited;
     * an instance that was given up is launched again with an empty crash history.
     */
    public void start(Duration now) {
        if (desiredState == DesiredState.STOPPED || processState == ProcessState.GIVEN_UP) {
            nextLaunchAt = now;
            backoff = settings.initialBackoff();
            recentCrashes.clear();
        }
        if (processState == ProcessState.GIVEN_UP) {
            processState = ProcessState.STOPPED;
        }
        desiredState = DesiredState.RUNNING;
    }

    /** Sets the desired state to running, and delays the launch. */
    public void startAfter(Duration now, Duration delay) {
        start(now);
        nextLaunchAt = now.plus(delay);
    }

    /** Stops the instance after it has answered the requests it has read. */
    public void drain() {
        desiredState = DesiredState.STOPPED;
        if (processState == ProcessState.GIVEN_UP) {
            processState = ProcessState.STOPPED;
        } else if (processState == ProcessState.RUNNING) {
            enter(ProcessState.DRAINING);
        }
    }

    /** Stops the instance immediately; its requests in flight are lost. */
    public void kill() {
        drain();
        if (processState == ProcessState.DRAINING) {
            enter(ProcessState.KILLING);
        }
    }

    /** Drains the instance and launches it again, or starts the instance if it has no process. */
    public void restart(Duration now) {
        if (processState.hasProcess()) {
            drain();
            desiredState = DesiredState.RUNNING;
        } else {
            start(now);
        }
    }

    private void enter(ProcessState next) {
        processState = next;
        actionPending = true;
    }

    // ---- events

    /** Records that a process of the instance exists: a new process, or a running process that the agent adopted. */
    public void processStarted(Duration now) {
        processState = ProcessState.RUNNING;
        startedAt = now;
        lastStatus = null;
        lastStatusAt = null;
        outlier = false;
        launches++;
    }

    /** Records that the requested launch failed, which counts as a crash. */
    public void launchFailed(Duration now, String reason) {
        recordCrash(now, reason);
    }

    /** Records that the process has exited. */
    public void processEnded(Duration now, String reason) {
        if (!processState.hasProcess()) {
            return;
        }
        lastStatus = null;
        if (processState.isEnding()) {
            processState = ProcessState.STOPPED;
            actionPending = false;
            lastEnd = reason;
            nextLaunchAt = now;
            return;
        }
        if (now.minus(startedAt).compareTo(settings.stableAfter()) >= 0) {
            backoff = settings.initialBackoff();
        }
        recordCrash(now, reason);
    }

    private void recordCrash(Duration now, String reason) {
        lastEnd = reason;
        recentCrashes.add(now);
        while (now.minus(recentCrashes.peek()).compareTo(settings.restartWindow()) > 0) {
            recentCrashes.poll();
        }
        nextLaunchAt = now.plus(backoff);
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(settings.maxBackoff()) > 0 ? settings.maxBackoff() : doubled;
        boolean giveUp = desiredState == DesiredState.RUNNING && recentCrashes.size() >= settings.maxRestarts();
        processState = giveUp ? ProcessState.GIVEN_UP : ProcessState.STOPPED;
    }

    /** Records a status report of the instance. */
    public void statusReceived(Duration now, InstanceStatus status) {
        if (processState.hasProcess()) {
            lastStatus = status;
            lastStatusAt = now;
        }
    }

    /** Records whether {@link OutlierDetector} considers the instance an outlier among its peers. */
    public void setOutlier(boolean isOutlier) {
        outlier = isOutlier;
    }

    // ---- decisions

    /** Returns the action that is due now; each action is returned once. */
    public SupervisorAction nextAction(Duration now) {
        return switch (processState) {
            case STOPPED -> {
                if (desiredState == DesiredState.STOPPED || now.compareTo(nextLaunchAt) < 0) {
                    yield SupervisorAction.NONE;
                }
                processState = ProcessState.STARTING;
                yield SupervisorAction.LAUNCH;
            }
            case DRAINING -> takePending(SupervisorAction.DRAIN);
            case KILLING -> takePending(SupervisorAction.KILL);
            case STARTING, RUNNING, GIVEN_UP -> SupervisorAction.NONE;
        };
    }

    private SupervisorAction takePending(SupervisorAction action) {
        if (!actionPending) {
            return SupervisorAction.NONE;
        }
        actionPending = false;
        return action;
    }

    // ---- reports

    /** Returns the state of the instance, derived from its process and its last status report. */
    public InstanceState state(Duration now) {
        return switch (processState) {
            case STOPPED -> InstanceState.DOWN;
            case STARTING -> InstanceState.STARTING;
            case GIVEN_UP -> InstanceState.GIVEN_UP;
            case DRAINING, KILLING -> InstanceState.DRAINING;
            case RUNNING -> reportsStatus ? runningState(now) : InstanceState.UNMONITORED;
        };
    }

    private InstanceState runningState(Duration now) {
        if (isSilent(now)) {
            return InstanceState.UNREACHABLE;
        }
        if (lastStatus == null) {
            return InstanceState.STARTING;
        }
        if (lastStatus.stalled()) {
            return InstanceState.HUNG;
        }
        return switch (lastStatus.phase()) {
            case DRAINING -> InstanceState.DRAINING;
            case STARTING -> InstanceState.STARTING;
            case WARMING_UP -> InstanceState.COLD;
            case WARM, UNKNOWN -> outlier ? InstanceState.SLOW : InstanceState.WARM;
        };
    }

    private boolean isSilent(Duration now) {
        if (lastStatusAt == null) {
            Duration firstStatusTimeout = settings.statusTimeout().multipliedBy(FIRST_STATUS_TIMEOUTS);
            return now.minus(startedAt).compareTo(firstStatusTimeout) > 0;
        }
        return now.minus(lastStatusAt).compareTo(settings.statusTimeout()) > 0;
    }

    /** Returns the reason for the current state as a phrase for operators, or an empty string. */
    public String reason(Duration now) {
        return switch (state(now)) {
            case DOWN -> downReason(now);
            case GIVEN_UP -> "crashed " + recentCrashes.size() + " times, last: " + lastEnd + "; start it manually";
            case UNREACHABLE -> lastStatusAt == null
                    ? "no status report since the launch"
                    : String.format(
                            Locale.ROOT,
                            "no status report for %d ms",
                            now.minus(lastStatusAt).toMillis());
            case DRAINING -> lastStatus == null
                    ? "draining"
                    : lastStatus.inFlight() + " requests in flight at the last status report";
            case SLOW -> "its capacity is far below the capacity of its peers";
            case HUNG -> "its executions make no progress";
            case UNMONITORED, STARTING, COLD, WARM -> "";
        };
    }

    private String downReason(Duration now) {
        if (desiredState == DesiredState.RUNNING) {
            long millisToLaunch = Math.max(0, nextLaunchAt.minus(now).toMillis());
            return String.format(Locale.ROOT, "%s; next launch in %d ms", lastEnd, millisToLaunch);
        }
        return lastEnd.isEmpty() ? "stopped" : "stopped; " + lastEnd;
    }

    /** Returns whether the desired state of the instance is running. */
    public boolean isDesired() {
        return desiredState == DesiredState.RUNNING;
    }

    /** Returns whether a process of the instance exists according to the reported events. */
    public boolean hasProcess() {
        return processState.hasProcess();
    }

    /** Returns the last status report of the current process, or empty before the first report. */
    public Optional<InstanceStatus> lastStatus() {
        return Optional.ofNullable(lastStatus);
    }

    /**
     * Returns the age of the last status report, also after the process has exited, or empty before the first report.
     */
    public Optional<Duration> statusAge(Duration now) {
        return Optional.ofNullable(lastStatusAt).map(now::minus);
    }

    /** Returns the time since the current process was launched or adopted, or empty if no process exists. */
    public Optional<Duration> processAge(Duration now) {
        return hasProcess() ? Optional.of(now.minus(startedAt)) : Optional.empty();
    }

    /** Returns the number of processes of the instance that were launched or adopted. */
    public long launches() {
        return launches;
    }
}
