package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import merlinlever.Settings;

/** What callers are told unasked: the free value, where there is one, and how long idle connections stay. */
final class BackpressureSignals {
    // Above this callers hear too little to go on knowing the level, and come back all at once.
    private static final double MOST_LEVEL = 0.6;
    // Callers a core from which on idle connections are closed early; servers that make a list long.
    static final double MANY = 16;
    // What the time to close changes by ten times a second, with a core free and with none.
    private static final double SOONER = 0.94, LATER = 1.02;

    private final ServerState server;
    private final String says;
    private final double idleMs, callers;
    private double closeIdleMs, saidIdleMs;
    double level;
    private double saidLevel;
    private Duration at = Duration.ZERO;

    BackpressureSignals(ServerState server, Settings given) {
        this.server = server;
        says = given.text("server.say", "none");
        idleMs = given.number("server.idle", 30_000);
        closeIdleMs = idleMs / 10;
        callers = given.number("server.callers", 1);
    }

    void say(Duration now) {
        if (!reached(now, at)) {
            return;
        }
        at = now.plusMillis(100);
        double avg = server.admission.avg;
        boolean old = reached(now, server.admission.avgAt.plusMillis(300));
        double pressure = old ? server.held / server.capacity.hold() : avg;
        closeIdle();
        if (says.equals("none")) {
            return;
        }
        double excess = AdmissionControl.excess(pressure);
        level += excess > 0 ? 0.04 * Math.min(1, excess) : -0.01;
        level = Math.max(0, Math.min(MOST_LEVEL, level));
        if (Math.abs(level - saidLevel) >= 0.02 || (level == 0 && saidLevel > 0)) {
            saidLevel = level;
            server.next.level = switch (says) {
                case "level" -> level;
                case "weight" -> 1 - level;
                case "credit" -> 2 * (1 - level) * (server.cores + server.capacity.hold()) / callers;
                default -> Double.NaN;
            };
        }
    }

    // Where callers are many, idle connections fill the table, take capacity and leave no room for the next
    // caller; each new one costs work, and a full table turns callers away at no cost. So they are closed the
    // sooner the more often a core is free, and kept while the cores are full.
    private void closeIdle() {
        if (callers > MANY * server.cores) {
            double wanted = closeIdleMs * (server.starts.coreFree() ? SOONER : LATER);
            closeIdleMs = Math.max(idleMs / 30, Math.min(idleMs, wanted));
            if (Math.abs(closeIdleMs / saidIdleMs - 1) > 0.1) {
                saidIdleMs = closeIdleMs;
                server.next.closeIdle = millis(closeIdleMs);
            }
        }
    }
}
