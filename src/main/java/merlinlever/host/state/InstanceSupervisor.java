package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Locale;
import merlinlever.common.WireNamed;

/**
 * Keeps one instance: decides when it is launched, told to leave or killed, and says what is so of it. What is not known it
 * does not say: an instance that does not answer is not reached since then, and neither down nor launched again while its
 * process is there.
 */
public final class InstanceSupervisor {

    /** What is so of an instance. */
    public enum InstanceState implements WireNamed {
        /** No process, and none is wanted or its next launch is waited for. */
        DOWN("down"),
        /** A process is there, of a kind that tells nothing of itself: more is not known. */
        THERE("there"),
        /** A process that has not told anything of itself yet. */
        STARTING("starting"),
        /** It tells that it is not at its full speed yet. */
        COLD("cold"),
        WARM("warm"),
        /** Warm, and much slower than most of its kind. */
        SLOW("slow"),
        /** It tells that its work does not get on. */
        HUNG("hung"),
        /** Told to leave; what it has read is being answered. */
        DRAINING("draining"),
        /** The process is there and does not answer. */
        UNREACHED("unreached"),
        /** It died too often and is left down until it is started by hand. */
        GIVEN_UP("given_up");

        private final String wireName;

        InstanceState(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** What is to be done with the process. */
    public enum SupervisorAction {
        NOTHING,
        LAUNCH,
        LEAVE,
        KILL
    }

    /**
     * What is stated.
     *
     * @param firstPause before it is launched again after it died; doubled each time up to the longest
     * @param steadyAfter having run so long, it starts again from the first pause
     * @param budget deaths within the span after which it is given up
     * @param silentAfter without an answer for so long it is not reached
     */
    public record SupervisorSettings(
            Duration firstPause,
            Duration longestPause,
            Duration steadyAfter,
            int budget,
            Duration budgetSpan,
            Duration silentAfter) {
        public static final SupervisorSettings USUAL = new SupervisorSettings(
                Duration.ofMillis(200),
                Duration.ofSeconds(30),
                Duration.ofSeconds(60),
                5,
                Duration.ofMinutes(10),
                Duration.ofMillis(2500));
    }

    private final SupervisorSettings stated;
    private final boolean tells;
    private boolean wanted;
    private boolean there, launching, leaving, killing, left, killed, slow, givenUp;
    private Duration launchAt = Duration.ZERO, launchedAt, toldAt;
    private Duration pause;
    private final ArrayDeque<Duration> deaths = new ArrayDeque<>();
    private InstanceStatus told;
    private boolean again;
    private String lastEnd = "";
    private long launches;

    /** @param tells whether instances of its kind tell of themselves */
    public InstanceSupervisor(SupervisorSettings stated, boolean tells) {
        this.stated = stated;
        this.tells = tells;
        pause = stated.firstPause;
    }

    // ---- orders

    /** It is wanted; one that was given up gets a new budget. */
    public void start(Duration now) {
        if (!wanted || givenUp) {
            launchAt = now;
            pause = stated.firstPause;
            deaths.clear();
            givenUp = false;
        }
        wanted = true;
        // On its way out it is launched again once it is down.
        again = leaving || killing;
    }

    /** It is wanted, and is launched so much later. */
    public void startAfter(Duration now, Duration wait) {
        start(now);
        launchAt = now.plus(wait);
    }

    /** It is to leave: answer what it has read, then end. */
    public void leave(Duration now) {
        wanted = false;
        again = false;
        givenUp = false;
        if (there && !leaving) {
            leaving = true;
        }
    }

    /** It is to be ended at once; what it has in hand is lost. */
    public void kill(Duration now) {
        leave(now);
        killing = there;
    }

    /** It is to leave and to be launched again. */
    public void restart(Duration now) {
        if (!there) {
            start(now);
            return;
        }
        leave(now);
        wanted = true;
        again = true;
    }

    // ---- what happens

    /** A process of it is there: launched now, or found from before. */
    public void there(Duration now, Duration since) {
        there = true;
        launching = false;
        launchedAt = since;
        toldAt = null;
        told = null;
        slow = false;
        launches++;
    }

    public void launchFailed(Duration now, String why) {
        launching = false;
        died(now, why);
    }

    /** Its process has ended. */
    public void ended(Duration now, String how) {
        if (!there) {
            return;
        }
        boolean ordered = leaving || killing;
        there = false;
        leaving = false;
        killing = false;
        left = false;
        killed = false;
        told = null;
        lastEnd = how;
        if (ordered) {
            launchAt = now;
            if (again) {
                wanted = true;
            }
            again = false;
            return;
        }
        if (launchedAt != null && now.minus(launchedAt).compareTo(stated.steadyAfter) >= 0) {
            pause = stated.firstPause;
        }
        died(now, how);
    }

    private void died(Duration now, String how) {
        lastEnd = how;
        deaths.add(now);
        while (now.minus(deaths.peek()).compareTo(stated.budgetSpan) > 0) {
            deaths.poll();
        }
        launchAt = now.plus(pause);
        pause = pause.multipliedBy(2).compareTo(stated.longestPause) > 0 ? stated.longestPause : pause.multipliedBy(2);
        givenUp |= wanted && deaths.size() >= stated.budget;
    }

    public void told(Duration now, InstanceStatus what) {
        if (there) {
            told = what;
            toldAt = now;
        }
    }

    /** Whether it is slower than its kind, as {@link OutlierDetector} found. */
    public void slow(boolean is) {
        slow = is;
    }

    // ---- what is decided

    /** What is to be done now; an act is decided once. */
    public SupervisorAction settle(Duration now) {
        if (there) {
            if (killing && !killed) {
                killed = true;
                return SupervisorAction.KILL;
            }
            if (leaving && !left && !killing) {
                left = true;
                return SupervisorAction.LEAVE;
            }
            return SupervisorAction.NOTHING;
        }
        if (wanted && !givenUp && !launching && now.compareTo(launchAt) >= 0) {
            launching = true;
            return SupervisorAction.LAUNCH;
        }
        return SupervisorAction.NOTHING;
    }

    public InstanceState state(Duration now) {
        if (!there) {
            return givenUp ? InstanceState.GIVEN_UP : launching ? InstanceState.STARTING : InstanceState.DOWN;
        }
        if (leaving || killing) {
            return InstanceState.DRAINING;
        }
        if (!tells) {
            return InstanceState.THERE;
        }
        Duration heard = toldAt == null ? launchedAt : toldAt;
        boolean silent =
                now.minus(heard).compareTo(toldAt == null ? stated.silentAfter.multipliedBy(4) : stated.silentAfter)
                        > 0;
        if (silent) {
            return InstanceState.UNREACHED;
        }
        if (told == null) {
            return InstanceState.STARTING;
        }
        return told.hung()
                ? InstanceState.HUNG
                : switch (told.phase()) {
                    case "leaving" -> InstanceState.DRAINING;
                    case "starting" -> InstanceState.STARTING;
                    case "cold" -> InstanceState.COLD;
                    default -> slow ? InstanceState.SLOW : InstanceState.WARM;
                };
    }

    /** One sentence for people about why it is so. */
    public String why(Duration now) {
        return switch (state(now)) {
            case DOWN -> wanted
                    ? String.format(
                            Locale.ROOT,
                            "%s; launched again in %d ms",
                            lastEnd,
                            Math.max(0, launchAt.minus(now).toMillis()))
                    : lastEnd.isEmpty() ? "not wanted" : "not wanted; " + lastEnd;
            case GIVEN_UP -> "died " + deaths.size() + " times, last: " + lastEnd + "; start it by hand";
            case UNREACHED -> toldAt == null
                    ? "has not answered since it was launched"
                    : String.format(
                            Locale.ROOT,
                            "not reached for %d ms",
                            now.minus(toldAt).toMillis());
            case DRAINING -> told == null ? "leaving" : told.inHand() + " operations to be answered when last heard";
            case SLOW -> "its capacity is far under that of its peers";
            case HUNG -> "no run gets on";
            default -> "";
        };
    }

    public boolean wanted() {
        return wanted;
    }

    public boolean there() {
        return there;
    }

    public boolean leaving() {
        return there && (leaving || killing);
    }

    public InstanceStatus told() {
        return told;
    }

    /** How old the last answer is, or null. */
    public Duration heardAgo(Duration now) {
        return toldAt == null ? null : now.minus(toldAt);
    }

    /** How long its process has been there. */
    public Duration age(Duration now) {
        return there ? now.minus(launchedAt) : null;
    }

    public long launches() {
        return launches;
    }
}
