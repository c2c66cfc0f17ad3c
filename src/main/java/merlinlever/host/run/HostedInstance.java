package merlinlever.host.run;

import java.util.Optional;
import merlinlever.host.state.InstanceSupervisor;

/** Configuration, supervisor and process of one instance of the machine. */
final class HostedInstance {

    private final InstanceSpec spec;
    private final InstanceSupervisor supervisor;
    private Optional<OsProcesses.ProcessIdentity> process = Optional.empty();
    private Optional<InstanceSupervisor.InstanceState> recordedState = Optional.empty();
    private boolean pollInFlight;

    HostedInstance(InstanceSpec spec, InstanceSupervisor supervisor) {
        this.spec = spec;
        this.supervisor = supervisor;
    }

    String name() {
        return spec.name();
    }

    InstanceSpec spec() {
        return spec;
    }

    InstanceSupervisor supervisor() {
        return supervisor;
    }

    Optional<OsProcesses.ProcessIdentity> process() {
        return process;
    }

    void setProcess(Optional<OsProcesses.ProcessIdentity> current) {
        process = current;
    }

    /** Returns the state in the most recent state change event. */
    Optional<InstanceSupervisor.InstanceState> recordedState() {
        return recordedState;
    }

    void setRecordedState(InstanceSupervisor.InstanceState state) {
        recordedState = Optional.of(state);
    }

    /** Returns whether a status poll is in flight. */
    boolean isPollInFlight() {
        return pollInFlight;
    }

    void setPollInFlight(boolean isInFlight) {
        pollInFlight = isInFlight;
    }
}
