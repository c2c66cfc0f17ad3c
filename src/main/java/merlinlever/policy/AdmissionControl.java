package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.Settings;
import merlinlever.policy.OverloadController.RejectionReason;

/** Which arrivals are held and which pushed back: the design page's class-weighted RED, and exceptions. */
final class AdmissionControl {
    // The four figures of the design page; q is the waiting over the hold's capacity.
    private static final double W_Q = 0.8;
    private static final double MIN_TH = 0.3;
    private static final double MAX_TH = 0.8;
    private static final double MAX_P = 0.4;
    // Coefficients of the least and the most valued tariff; what is worth nothing counts as of this value.
    private static final double C_LEAST = 5.0, C_MOST = 0.1, NIL = 0.001;
    // A marked further try has less of its soft limit left than it says, and others were full as well.
    private static final double AGAIN = 4;
    // Reading takes more than this part of an operation's work: each further try costs the others that.
    private static final double DEAR = 0.1;
    // Part of the difference by which the quickest reading seen is forgotten with each arrival.
    private static final double FORGET = 0.002;

    private final ServerState server;
    private final SplittableRandom chance;
    final Duration longestStayAway;
    double avg;
    Duration avgAt = Duration.ZERO;
    private double quickestRead = 1e9;
    private int count;

    AdmissionControl(ServerState server, Settings given, long seed) {
        this.server = server;
        chance = new SplittableRandom(seed);
        longestStayAway = given.flag("limits.stay-away") ? given.duration("limits.longest-stay-away", 0) : Duration.ZERO;
        double least = Math.max(
                NIL, server.tariffs.stream().mapToDouble(t -> t.value).min().orElse(1));
        double span =
                Math.log(server.tariffs.stream().mapToDouble(t -> t.value).max().orElse(1) / least);
        for (PriorityClass t : server.tariffs) {
            double rank = span > 0 ? Math.log(Math.max(1, t.value / least)) / span : 0.5;
            t.coefficient = C_LEAST * Math.pow(C_MOST / C_LEAST, rank);
        }
    }

    void arrive(Request op, Duration now) {
        // What waits unread waits too: its time beyond the quickest reading counts as that part of the span.
        double unread = toMillis(now.minus(op.arrival));
        quickestRead = Math.min(unread, quickestRead + FORGET * (unread - quickestRead));
        // Neither the arrival itself nor what free cores take at once is waiting: on two cores either alone
        // was over min_th, and an idle server refused its next arrival.
        double waiting =
                Math.max(0, server.held - 1 - Math.max(0, server.cores - server.onCores)) / server.capacity.hold();
        double q = waiting + (unread - quickestRead) / toMillis(server.span);
        avgAt = now;
        avg = (1 - W_Q) * avg + W_Q * q;
        // Rule 3: what came after the grace is not run; near the stop nothing more is begun.
        Duration ends = now.plus(op.usualRun());
        boolean leaving = server.mode.pastGrace(op) || server.mode.stops(ends);
        boolean hung = server.mode.hung;
        if (leaving || hung || !server.repeats.roomFor(op)) {
            RejectionReason why =
                    leaving ? RejectionReason.LEAVING : hung ? RejectionReason.HUNG : RejectionReason.MEMORY;
            server.endings.pushBack(op, now, why, false, leaving || hung ? longestStayAway : Duration.ZERO);
            return;
        }
        if (server.mode.unsettled(op, now)) {
            Duration wait = later(Duration.ZERO, server.mode.keyedFrom.minus(now));
            server.endings.pushBack(op, now, RejectionReason.UNSETTLED, false, earlier(longestStayAway, wait));
            return;
        }
        // Work that cannot make its soft limit is waste.
        Duration likely = ends.plus(ofMillis(waiting * toMillis(server.span)));
        if (server.onCores >= server.cores && isReached(likely, op.soft)) {
            server.endings.pushBack(op, now, RejectionReason.HOPELESS, op.again || dear(), longestStayAway);
        } else if (refuses(op)) {
            // RED refuses only while the hold is long, as it is on its neighbours under the same load: a walk
            // costs each of them a read and, where callers are many, a new connection, and is refused again.
            count = 0;
            server.endings.pushBack(op, now, RejectionReason.CHANCE, true, stayAway());
        } else {
            count++;
            server.repeats.keepFor(op, now);
        }
    }

    /** How far an occupancy is from min_th (0) to max_th (1). */
    static double excess(double occupancy) {
        return (occupancy - MIN_TH) / (MAX_TH - MIN_TH);
    }

    boolean presses() {
        return avg >= MIN_TH;
    }

    boolean dear() {
        return quickestRead > DEAR * server.cores * toMillis(server.span) / server.capacity.hold();
    }

    private boolean refuses(Request op) {
        if (avg < MIN_TH) {
            return false;
        }
        double pb = excess(avg) * MAX_P;
        double coefficient = op.tariff.coefficient * (op.again ? AGAIN : 1);
        double pa = avg > MAX_TH || count * pb >= 1 ? 1 : coefficient * pb / (1 - count * pb);
        return chance.nextDouble() < pa;
    }

    // How long a caller refused by chance should stay away: longer the fuller the hold. The longest advice on
    // each refusal shut callers out of nearly every server at once while the servers had room.
    private Duration stayAway() {
        return ofMillis(toMillis(longestStayAway) * Math.min(1, excess(avg)));
    }
}
