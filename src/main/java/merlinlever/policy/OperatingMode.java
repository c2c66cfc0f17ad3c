package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import java.util.Locale;
import merlinlever.Settings;

/** Whether the work hangs, the server leaves, or it has come back and may not know what it did before. */
final class OperatingMode {
    // No run has got on for so long and for so many usual runs, more where few run: the work hangs.
    private static final Duration HANG = Duration.ofSeconds(1);
    private static final double HANG_RUNS = 2, HANG_RUNS_ALONE = 6;

    private final ServerState server;
    private final Duration grace;
    Duration progress = Duration.ZERO;
    boolean hung;
    private Boolean saidHealthy;
    Duration leaveAt, stopAt;
    // Work that is not retriable is begun only if it came from the one on, and before the other.
    Duration keyedFrom = Duration.ZERO, keyedTo;

    OperatingMode(ServerState server, Settings given) {
        this.server = server;
        grace = given.span("rules.drain-grace", 0);
    }

    void leave(Duration now, Duration stop) {
        leaveAt = now;
        stopAt = stop;
        server.next.log.add(String.format(
                Locale.ROOT,
                "leaving: stop in %.0f ms, held=%d run=%d",
                ms(stop.minus(now)),
                server.held,
                server.running()));
    }

    boolean pastGrace(Request op) {
        return leaveAt != null && reached(op.arrival, leaveAt.plus(grace));
    }

    /** Whether the stop comes within a look of then. */
    boolean stops(Duration then) {
        return stopAt != null && reached(then.plus(OverloadController.LOOK), stopAt);
    }

    /** Rule 2: whether a life before may have begun it, or the next would not know that this one did. */
    boolean unsettled(Request op, Duration now) {
        return !op.tariff.retriable && (!reached(op.arrival, keyedFrom) || unknownNext(op, now));
    }

    boolean unknownNext(Request op, Duration now) {
        return keyedTo != null && !op.tariff.retriable && reached(now, keyedTo);
    }

    void watch(Duration now) {
        // One long run is no hang: the fewer run, the longer they may be silent; cold cores are slow as told.
        double usual =
                server.tariffs.stream().mapToDouble(t -> t.times.meanMs()).max().orElse(0)
                        * (HANG_RUNS + HANG_RUNS_ALONE / Math.max(1, server.onCores));
        Duration patience = later(millis(ms(HANG) / server.capacity.speedShare()), millis(usual));
        boolean stuck = server.onCores > 0 && reached(now, progress.plus(patience));
        if (stuck != hung) {
            hung = stuck;
            server.next.log.add(String.format(
                    Locale.ROOT,
                    "%s: run=%d held=%d silent=%.0f ms",
                    hung ? "hangs" : "works again",
                    server.onCores,
                    server.held,
                    ms(now.minus(progress))));
        }
        boolean healthy = !hung && leaveAt == null;
        if (saidHealthy == null || healthy != saidHealthy) {
            saidHealthy = healthy;
            server.next.healthy = healthy;
        }
    }
}
