package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import merlinlever.common.WireNamed;

/**
 * Supervises one instance: decides when to launch, drain or kill its process, and reports its state. A process that exists
 * and does not answer is unreached, neither down nor launched a second time. Without input, output, thread or clock: the
 * caller reports what happens, with the time since its own start, and carries out the actions.
 */
public final class InstanceSupervisor {

    /** The state of an instance as it is reported to operators. */
    public enum InstanceState implements WireNamed {
        /** No process exists: none is desired, or the next launch is due later. */
        DOWN("down"),
        /** A process exists, of a kind that does not report its status: more is not known. */
        UNMONITORED("there"),
        /** The process has not reported its status yet. */
        STARTING("starting"),
        /** It reports that it is still warming up. */
        COLD("cold"),
        /** It reports that it serves at full speed. */
        WARM("warm"),
        /** Warm, and an outlier among its peers. */
        SLOW("slow"),
        /** It reports that its executions do not progress. */
        HUNG("hung"),
        /** It answers what it has read, then it ends. */
        DRAINING("draining"),
        /** The process exists and has not answered in time. */
        UNREACHABLE("unreached"),
        /** It crashed too often, and is left down until an operator starts it. */
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

    /** What the caller has to do with the process. */
    public enum SupervisorAction {
        /** Nothing. */
        NONE,
        /** Launch a process, then report {@link #processStarted} or {@link #launchFailed}. */
        LAUNCH,
        /** Ask the process to shut down gracefully. */
        DRAIN,
        /** End the process at once. */
        KILL
    }

    /** Whether the instance is meant to run. */
    private enum DesiredState {
        STOPPED,
        RUNNING
    }

    /** The life of the process. DRAINING and KILLING last until the process has ended. */
    private enum ProcessState {
        STOPPED,
        /** The caller was asked to launch it. */
        STARTING,
        RUNNING,
        DRAINING,
        KILLING,
        /** Stopped, and not launched again until {@link InstanceSupervisor#start}. */
        GIVEN_UP;

        boolean hasProcess() {
            return this == RUNNING || this == DRAINING || this == KILLING;
        }

        boolean isEnding() {
            return this == DRAINING || this == KILLING;
        }
    }

    /** A new process has this many status timeouts for its first report. */
    private static final int FIRST_STATUS_TIMEOUTS = 4;

    private final SupervisorSettings settings;
    private final boolean reportsStatus;
    private DesiredState desiredState = DesiredState.STOPPED;
    private ProcessState processState = ProcessState.STOPPED;
    /** Whether the caller has still to be asked for the action that the process state stands for. */
    private boolean actionPending;

    private Duration nextLaunchAt = Duration.ZERO;
    private Duration backoff;
    private final ArrayDeque<Duration> recentCrashes = new ArrayDeque<>();
    private String lastEnd = "";
    private long launches;
    /** Null before the first process. */
    private Duration startedAt;
    /** Of the current process; null before its first report. */
    private InstanceStatus lastStatus;
    /** When the last process reported last; null before its first report. */
    private Duration lastStatusAt;

    private boolean outlier;

    /**
     * A supervisor of an instance that has no process and is not desired.
     *
     * @param reportsStatus whether instances of its kind report their status
     */
    public InstanceSupervisor(SupervisorSettings settings, boolean reportsStatus) {
        this.settings = settings;
        this.reportsStatus = reportsStatus;
        backoff = settings.initialBackoff();
    }

    // ---- orders

    /** Desires the instance. One that is ending is launched again once it has ended; one given up may crash anew. */
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

    /** Desires the instance, and launches it after the delay. */
    public void startAfter(Duration now, Duration delay) {
        start(now);
        nextLaunchAt = now.plus(delay);
    }

    /** Lets the instance answer what it has read, then end. */
    public void drain() {
        desiredState = DesiredState.STOPPED;
        if (processState == ProcessState.GIVEN_UP) {
            processState = ProcessState.STOPPED;
        } else if (processState == ProcessState.RUNNING) {
            enter(ProcessState.DRAINING);
        }
    }

    /** Ends the instance at once; its requests in flight are lost. */
    public void kill() {
        drain();
        if (processState == ProcessState.DRAINING) {
            enter(ProcessState.KILLING);
        }
    }

    /** Drains the instance and launches it again, or starts it where it has no process. */
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

    /** A process of the instance exists: launched now, or found running. */
    public void processStarted(Duration now) {
        processState = ProcessState.RUNNING;
        startedAt = now;
        lastStatus = null;
        lastStatusAt = null;
        outlier = false;
        launches++;
    }

    /** The launch that was asked for failed; counts as a crash. */
    public void launchFailed(Duration now, String reason) {
        recordCrash(now, reason);
    }

    /** The process has ended. */
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

    /** The instance has reported its status. */
    public void statusReceived(Duration now, InstanceStatus status) {
        if (processState.hasProcess()) {
            lastStatus = status;
            lastStatusAt = now;
        }
    }

    /** Whether the instance is an outlier among its peers, as {@link OutlierDetector} found. */
    public void setOutlier(boolean isOutlier) {
        outlier = isOutlier;
    }

    // ---- decisions

    /** What has to be done now; each action is returned once. */
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

    /** The state of the instance, by its process and by its last status report. */
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

    /** One phrase for operators on why the instance is in its state; empty where there is nothing to say. */
    public String reason(Duration now) {
        return switch (state(now)) {
            case DOWN -> downReason(now);
            case GIVEN_UP -> "died " + recentCrashes.size() + " times, last: " + lastEnd + "; start it by hand";
            case UNREACHABLE -> lastStatusAt == null
                    ? "has not answered since it was launched"
                    : String.format(
                            Locale.ROOT,
                            "not reached for %d ms",
                            now.minus(lastStatusAt).toMillis());
            case DRAINING -> lastStatus == null
                    ? "leaving"
                    : lastStatus.inFlight() + " operations to be answered when last heard";
            case SLOW -> "its capacity is far under that of its peers";
            case HUNG -> "no run gets on";
            case UNMONITORED, STARTING, COLD, WARM -> "";
        };
    }

    private String downReason(Duration now) {
        if (desiredState == DesiredState.RUNNING) {
            long millisToLaunch = Math.max(0, nextLaunchAt.minus(now).toMillis());
            return String.format(Locale.ROOT, "%s; launched again in %d ms", lastEnd, millisToLaunch);
        }
        return lastEnd.isEmpty() ? "not wanted" : "not wanted; " + lastEnd;
    }

    /** Whether the instance is meant to run. */
    public boolean isDesired() {
        return desiredState == DesiredState.RUNNING;
    }

    /** Whether a process of the instance exists, as far as was reported. */
    public boolean hasProcess() {
        return processState.hasProcess();
    }

    /** The last status report of the current process; empty where it has none. */
    public Optional<InstanceStatus> lastStatus() {
        return Optional.ofNullable(lastStatus);
    }

    /** The age of the last status report, also after the end of the process; empty where it never reported. */
    public Optional<Duration> statusAge(Duration now) {
        return Optional.ofNullable(lastStatusAt).map(now::minus);
    }

    /** How long the current process has been known; empty where there is none. */
    public Optional<Duration> processAge(Duration now) {
        return hasProcess() ? Optional.of(now.minus(startedAt)) : Optional.empty();
    }

    /** How many processes of the instance were launched or found running. */
    public long launches() {
        return launches;
    }
}
