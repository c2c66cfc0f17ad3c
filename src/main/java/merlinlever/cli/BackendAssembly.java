package merlinlever.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import merlinlever.backend.Backend;
import merlinlever.backend.BackendDependencies;
import merlinlever.backend.DownstreamService;
import merlinlever.backend.TrackedRequest;
import merlinlever.backend.agent.AgentLink;
import merlinlever.backend.http.EdgeServer;
import merlinlever.backend.records.RecordsClient;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;
import merlinlever.controller.settings.ControllerSettings;

/**
 * One backend with its links to the render farm agent, the records service and the edge nodes, all on one event loop and its
 * thread. Passes what the backend decides on to the link that carries it out.
 */
final class BackendAssembly implements BackendDependencies {

    private final Backend backend;
    private final AgentLink agent;
    private final RecordsClient records;
    private final EdgeServer edge;
    private final EventLoop loop;
    private final Log log;
    private EventLoop.Timer wakeUpTimer;

    /**
     * Connects to the agent at once; the edge server does not listen yet.
     *
     * @param settings of the controller
     * @param recordsAddress null where there is no records service
     * @param maxCalls calls to the records service in flight at once
     */
    BackendAssembly(
            EventLoop loop,
            ControllerSettings settings,
            long seed,
            InetSocketAddress agentAddress,
            InetSocketAddress recordsAddress,
            int maxCalls,
            Log log) {
        this.loop = loop;
        this.log = log;
        backend = new Backend(settings, seed, this);
        agent = new AgentLink(loop, agentAddress, backend, log);
        records = new RecordsClient(loop, recordsAddress, backend, log, maxCalls);
        edge = new EdgeServer(loop, backend, settings);
        loop.setAfterBatch(() -> backend.decide(loop.clock().now()));
        agent.start();
    }

    Backend backend() {
        return backend;
    }

    AgentLink agent() {
        return agent;
    }

    RecordsClient records() {
        return records;
    }

    EdgeServer edge() {
        return edge;
    }

    @Override
    public void launch(TrackedRequest request) {
        agent.launch(request);
    }

    @Override
    public void stop(TrackedRequest request) {
        agent.stopRun(request);
    }

    @Override
    public void deliverReply(TrackedRequest request, byte[] reply) {
        agent.deliverReply(request, reply);
    }

    @Override
    public void continueWithoutCall(TrackedRequest request) {
        agent.continueWithoutCall(request);
    }

    @Override
    public boolean pollMetrics() {
        return agent.pollMetrics();
    }

    @Override
    public void startDeepCheck() {
        agent.startDeepCheck();
    }

    @Override
    public DownstreamService downstream() {
        return records;
    }

    @Override
    public void closeIdleConnections(Duration after) {
        edge.setIdleTimeout(after);
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        wakeUpTimer = loop.schedule(
                at.minus(loop.clock().now()), () -> backend.wakeUp(loop.clock().now()));
    }

    @Override
    public void log(String line) {
        log.info(line);
    }
}
