package merlinlever.host.run;

import java.util.Optional;
import merlinlever.host.state.InstanceSupervisor;

/** One instance of the machine: its configuration, its supervisor and its process. */
final class HostedInstance {

    private final InstanceSpec spec;
    private final InstanceSupervisor supervisor;
    private Optional<OsProcesses.ProcessIdentity> process = Optional.empty();
    private Optional<InstanceSupervisor.InstanceState> recordedState = Optional.empty();
    private boolean polled;

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

    /** The state of which the last event told. */
    Optional<InstanceSupervisor.InstanceState> recordedState() {
        return recordedState;
    }

    void setRecordedState(InstanceSupervisor.InstanceState state) {
        recordedState = Optional.of(state);
    }

    /** Whether its answer to a poll is awaited. */
    boolean isPolled() {
        return polled;
    }

    void setPolled(boolean isPolled) {
        polled = isPolled;
    }
}
