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
 * Assembles one backend with its links to the render farm agent, the records service and the edge nodes, all on one
 * event loop. Forwards each decision of the backend to the link that carries the decision out.
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
     * Starts to connect to the agent; the edge server does not listen before {@link EdgeServer#listen}.
     *
     * @param settings the controller settings
     * @param recordsAddress address of the records service; null if there is none
     * @param maxCalls maximum number of concurrent calls to the records service
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
