package merlinlever.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import merlinlever.agent.AgentLink;
import merlinlever.core.Backend;
import merlinlever.core.BackendDependencies;
import merlinlever.core.DownstreamService;
import merlinlever.core.TrackedRequest;
import merlinlever.http.EdgeServer;
import merlinlever.log.Log;
import merlinlever.net.EventLoop;
import merlinlever.records.RecordsClient;

/** The core with its parties round it on one loop. */
final class BackendAssembly implements BackendDependencies {

    final Backend backend;
    final AgentLink agent;
    final RecordsClient records;
    final EdgeServer edge;
    private final EventLoop loop;
    private final Log log;
    private EventLoop.Timer alarm;

    BackendAssembly(
            EventLoop loop,
            Map<String, String> given,
            long seed,
            InetSocketAddress agentAt,
            InetSocketAddress recordsAt,
            int mostCalls,
            Log log) {
        this.loop = loop;
        this.log = log;
        backend = new Backend(given, seed, this);
        agent = new AgentLink(loop, agentAt, backend, log);
        records = new RecordsClient(loop, recordsAt, backend, log, mostCalls);
        edge = new EdgeServer(loop, backend, given);
        loop.after(() -> backend.decide(loop.clock().now()));
        agent.start();
    }

    @Override
    public void launch(TrackedRequest work) {
        agent.launch(work);
    }

    @Override
    public void stop(TrackedRequest work) {
        agent.freeze(work);
    }

    @Override
    public void deliverReply(TrackedRequest work, byte[] reply) {
        agent.deliver(work, reply);
    }

    @Override
    public void continueWithoutCall(TrackedRequest work) {
        agent.forgo(work);
    }

    @Override
    public boolean pollMetrics() {
        return agent.sample();
    }

    @Override
    public void startDeepCheck() {
        agent.exercise();
    }

    @Override
    public DownstreamService downstream() {
        return records;
    }

    @Override
    public void closeIdleConnections(Duration after) {
        edge.closeIdle(after);
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        if (alarm != null) {
            alarm.callOff();
        }
        alarm = loop.in(
                at.minus(loop.clock().now()), () -> backend.wakeUp(loop.clock().now()));
    }

    @Override
    public void log(String line) {
        log.info(line);
    }
}
