package merlinlever.backend;

import java.time.Duration;
import java.util.List;

/**
 * Agent and downstream service of a backend under test. Records each command as a string, such as "launch" and the id
 * of the request, and does nothing else.
 */
public abstract class RecordingDependencies implements BackendDependencies, DownstreamService {

    /** The commands that were sent to the agent and to the downstream service, in order. */
    public final List<String> commands;

    protected RecordingDependencies(List<String> commands) {
        this.commands = commands;
    }

    @Override
    public void launch(TrackedRequest request) {
        commands.add("launch " + request.idText());
    }

    @Override
    public void stop(TrackedRequest request) {
        commands.add("stop " + request.idText());
    }

    @Override
    public void deliverReply(TrackedRequest request, byte[] reply) {
        commands.add("deliver " + request.idText());
    }

    @Override
    public void continueWithoutCall(TrackedRequest request) {
        commands.add("continue " + request.idText());
    }

    @Override
    public boolean pollMetrics() {
        return true;
    }

    @Override
    public void startDeepCheck() {
        commands.add("deep-check");
    }

    @Override
    public DownstreamService downstream() {
        return this;
    }

    @Override
    public void call(TrackedRequest request, byte[] body, Duration timeout) {
        commands.add("call " + request.idText());
    }

    @Override
    public void cancel(TrackedRequest request) {
        commands.add("cancel " + request.idText());
    }

    @Override
    public void closeIdleConnections(Duration idleTimeout) {}

    @Override
    public void log(String line) {}
}
