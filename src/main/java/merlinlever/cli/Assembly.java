package merlinlever.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import merlinlever.agent.AgentLink;
import merlinlever.core.Backend;
import merlinlever.core.Calls;
import merlinlever.core.Outside;
import merlinlever.core.Work;
import merlinlever.http.EdgeNodes;
import merlinlever.log.Log;
import merlinlever.net.Loop;
import merlinlever.records.RecordsLink;

/** The core with its parties round it on one loop. */
final class Assembly implements Outside {

    final Backend backend;
    final AgentLink agent;
    final RecordsLink records;
    final EdgeNodes edge;
    private final Loop loop;
    private final Log log;
    private Loop.Timer alarm;

    Assembly(
            Loop loop,
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
        records = new RecordsLink(loop, recordsAt, backend, log, mostCalls);
        edge = new EdgeNodes(loop, backend, given);
        loop.after(() -> backend.settle(loop.clock().now()));
        agent.start();
    }

    @Override
    public void launch(Work work) {
        agent.launch(work);
    }

    @Override
    public void freeze(Work work) {
        agent.freeze(work);
    }

    @Override
    public void deliver(Work work, byte[] reply) {
        agent.deliver(work, reply);
    }

    @Override
    public void forgo(Work work) {
        agent.forgo(work);
    }

    @Override
    public boolean sample() {
        return agent.sample();
    }

    @Override
    public void exercise() {
        agent.exercise();
    }

    @Override
    public Calls calls() {
        return records;
    }

    @Override
    public void closeIdle(Duration after) {
        edge.closeIdle(after);
    }

    @Override
    public void alarm(Duration at) {
        if (alarm != null) {
            alarm.callOff();
        }
        alarm = loop.in(
                at.minus(loop.clock().now()), () -> backend.alarmed(loop.clock().now()));
    }

    @Override
    public void log(String line) {
        log.info(line);
    }
}
