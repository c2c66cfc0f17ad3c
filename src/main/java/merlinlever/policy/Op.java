package merlinlever.policy;

import static merlinlever.Spans.earlier;
import static merlinlever.Spans.millis;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Ending;
import merlinlever.Operation;

/**
 * An operation: what is known of it, how far it has come, and which part hears what happens to it. Nothing is
 * decided here.
 */
final class Op implements Operation {
    enum Phase {
        HELD,
        FOLLOWING,
        RUNNING,
        AT_CALL,
        CALLING,
        SHARING,
        OVER
    }

    private final Server server;
    final Tariff tariff;
    final Duration arrival, due, soft;
    final double kb, hintMs;
    final boolean sharable, again;
    Phase phase = Phase.HELD;
    boolean answered, ran, halting, calledAgain;
    Ending end;
    Duration startedAt, keptUntil;
    Op original;
    final List<Op> followers = new ArrayList<>(0);

    Op(
            Server server,
            Tariff tariff,
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
        soft = earlier(arrival.plus(tariff.softLimit).plus(millis(tariff.stretch * hintMs)), due);
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
    public void ended(Duration now, Ending how) {
        server.clock(now);
        server.endings.ended(this, now, how);
    }

    @Override
    public void reachedCall(Duration now) {
        server.clock(now);
        server.mode.progress = now;
        if (phase == Phase.RUNNING) {
            server.move(this, Phase.AT_CALL);
        }
    }

    @Override
    public void callEnded(Duration now, Ending how, Duration took) {
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
