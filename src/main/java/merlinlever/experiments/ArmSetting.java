package merlinlever.experiments;

import java.time.Duration;
import java.util.List;

/**
 * What an arm may state, the whole list. Each takes effect on one operation, after the module has decided about it, and only
 * within what the module decided: advice gets shorter, a call is waited for less long, the next hop is another of the equal ones.
 * So no arm changes what is taken, what runs first, what is repeated or what is turned away: the four rules, the figures of
 * docs/design.md and the order by worth are the same in all arms.
 */
public enum ArmSetting {
    /** The longest stretch that a pushed back caller is told to stay away; the module's own where that is shorter. */
    STAY_AWAY("stay-away-longest", Duration.ZERO, Duration.ofMinutes(1)),
    /** The longest that a call is waited for before it is given up; the module's own where that is shorter. */
    CALL("call-longest", Duration.ofMillis(10), Duration.ofMinutes(1)),
    /** Which of the stated routes is asked first, where several may serve. */
    ROUTE("route", null, null);

    private static final List<String> RULED = List.of(
            "invariants",
            "rules",
            "drain-grace",
            "longest-unread",
            "cold",
            "halt",
            "kind",
            "semantics",
            "memory-kb",
            "cores",
            "allowance-per-s",
            "crowd-factor");
    private static final List<String> WORTH = List.of(
            "value",
            "gain",
            "late-value",
            "value-by",
            "worth-by",
            "value-over-share",
            "services",
            "tariffs",
            "soft-limit",
            "aim",
            "client-timeout",
            "hard-limit",
            "value-without-call");
    private static final List<String> FIGURES = List.of("w-q", "min-th", "max-th", "max-p", "coefficient");

    final String word;
    final Duration least;
    final Duration most;

    ArmSetting(String word, Duration least, Duration most) {
        this.word = word;
        this.least = least;
        this.most = most;
    }

    /** By the word of the configuration, or null. */
    static ArmSetting of(String word) {
        for (ArmSetting each : values()) {
            if (each.word.equals(word)) {
                return each;
            }
        }
        return null;
    }

    /** Why a word that is none of these cannot be tried. */
    static String refusal(String word) {
        String first = word.contains(".") ? word.substring(0, word.indexOf('.')) : word;
        String why = RULED.contains(word) || RULED.contains(first)
                ? "it belongs to the four rules, which are the same in all arms"
                : WORTH.contains(word) || WORTH.contains(first)
                        ? "it belongs to the order by worth, which is the same in all arms"
                        : FIGURES.contains(word)
                                ? "the figures of the design are the same in all arms"
                                : "it is not known";
        return why + "; an arm may set stay-away-longest, call-longest or route";
    }
}
