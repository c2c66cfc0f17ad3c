package merlinlever.policy;

import java.time.Duration;
import java.util.List;
import merlinlever.Settings;
import merlinlever.policy.Request.Phase;

/** Which held operations are started, in which order, and how far by the gauge of the run queue. */
final class Dispatcher {
    private final ServerState server;
    private final int runQueueAt;
    private double runQueue;
    private int changeSince;

    Dispatcher(ServerState server, Settings given) {
        this.server = server;
        runQueueAt = List.of(given.text("server.gauges", "").split(",")).indexOf("run-queue");
    }

    void look(double[] gauges) {
        if (runQueueAt >= 0 && runQueueAt < gauges.length) {
            runQueue = gauges[runQueueAt];
            changeSince = 0;
        }
    }

    // The gauge counts what has left the cores since it was read, and not what has come back from a call.
    void moves(Phase from, Phase to) {
        changeSince += (to == Phase.RUNNING ? 1 : 0) - (from == Phase.RUNNING ? 1 : 0);
    }

    boolean coreFree() {
        return runQueue < server.cores;
    }

    /** Oldest first, by the run-queue gauge and what has changed since it, under the ceiling of the crowd. */
    void start(Duration now) {
        double most = server.capacity.survivable();
        for (Request op : server.hand) {
            if (op.phase != Phase.HELD
                    || op.answered
                    || (op.ran && !op.tariff.retriable)
                    || server.mode.unknownNext(op, now)) {
                continue;
            }
            boolean marked = server.onCores >= 1 && runQueue + changeSince >= server.cores;
            double moreKb = op.kb * (server.runFactor - 1);
            if (marked || server.running() >= most || !server.capacity.fits(moreKb) || server.mode.hung) {
                return;
            }
            QuotaLimiter runs = server.limits.get(op.tariff.index + 1);
            if ((op.tariff.calls && server.calls.full()) || !runs.allows(now)) {
                continue;
            }
            runs.begins(now);
            if (server.onCores == 0) {
                server.mode.progress = now;
            }
            op.ran = true;
            op.startedAt = now;
            server.move(op, Phase.RUNNING);
            server.next.started.add(op);
            server.repeats.promote(op, now);
        }
    }
}
