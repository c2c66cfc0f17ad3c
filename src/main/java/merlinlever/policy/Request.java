package merlinlever.policy;

import static merlinlever.Durations.earlier;
import static merlinlever.Durations.ofMillis;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Outcome;
import merlinlever.RequestHandle;

/**
 * An operation: what is known of it, how far it has come, and which part hears what happens to it. Nothing is
 * decided here.
 */
final class Request implements RequestHandle {
    enum Phase {
        HELD,
        FOLLOWING,
        RUNNING,
        AT_CALL,
        CALLING,
        SHARING,
        OVER
    }

    private final ServerState server;
    final PriorityClass tariff;
    final Duration arrival, due, soft;
    final double kb, hintMs;
    final boolean sharable, again;
    Phase phase = Phase.HELD;
    boolean answered, ran, halting, calledAgain;
    Outcome end;
    Duration startedAt, keptUntil;
    Request original;
    final List<Request> followers = new ArrayList<>(0);

    Request(
            ServerState server,
            PriorityClass tariff,
            Duration arrival,
            Duration due,
            double kb,
            double hintMs,
            boolean sharable,
            boolean again) {
        this.server = server;
        this.tariff = tariff;
        this.arrival = arrival;
        this.due = due;
        this.kb = kb;
        this.hintMs = hintMs;
        this.sharable = sharable;
        this.again = again;
        soft = earlier(arrival.plus(tariff.softLimit).plus(ofMillis(tariff.stretch * hintMs)), due);
    }

    Duration usualRun() {
        return tariff.times.usual(hintMs, server.admission.presses(), tariff.softLimit);
    }

    /** Whether it waits in the hold, for its start or for another's outcome. */
    boolean offCores() {
        return phase == Phase.HELD || phase == Phase.FOLLOWING || phase == Phase.SHARING;
    }

    boolean inHand() {
        return phase != Phase.OVER;
    }

    double memory() {
        return ran && phase != Phase.HELD && phase != Phase.SHARING ? kb * server.runFactor : kb;
    }

    @Override
    public void runEnded(Duration now, Outcome how) {
        server.clock(now);
        server.endings.ended(this, now, how);
    }

    @Override
    public void callNeeded(Duration now) {
        server.clock(now);
        server.mode.progress = now;
        if (phase == Phase.RUNNING) {
            server.move(this, Phase.AT_CALL);
        }
    }

    @Override
    public void callEnded(Duration now, Outcome how, Duration took) {
        server.clock(now);
        if (phase == Phase.CALLING) {
            server.calls.ended(this, now, how, took);
        }
    }

    @Override
    public void callerGone(Duration now) {
        server.clock(now);
        server.endings.callerGone(this, now);
    }
}
