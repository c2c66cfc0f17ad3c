package merlinlever.fleet.experiments;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Everything that an arm may change. Each setting takes effect on a single request after the controller has decided about it, and only
 * within that decision: a Retry-After gets shorter, a downstream call times out earlier, another of several equal routes is tried first. So
 * no arm changes what is admitted, what runs first, what is retried or what is rejected.
 */
public enum ArmSetting {
    /** Upper bound of the Retry-After that rejected callers get. */
    MAX_RETRY_AFTER("stay-away-longest", Duration.ZERO, Duration.ofMinutes(1)),
    /** Upper bound of the time that a downstream call is waited for. */
    MAX_CALL_DURATION("call-longest", Duration.ofMillis(10), Duration.ofMinutes(1)),
    /** The configured route that is tried first where several are usable. */
    PREFERRED_ROUTE("route", null, null);

    private static final List<String> INVARIANT_SETTINGS = List.of(
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
    private static final List<String> PRIORITY_SETTINGS = List.of(
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
    private static final List<String> DESIGN_PARAMETERS = List.of("w-q", "min-th", "max-th", "max-p", "coefficient");

    private final String key;
    private final Duration min;
    private final Duration max;

    ArmSetting(String key, Duration min, Duration max) {
        this.key = key;
        this.min = min;
        this.max = max;
    }

    /** The lowest duration that may be configured; null for a setting that is no duration. */
    Duration min() {
        return min;
    }

    /** The highest duration that may be configured; null for a setting that is no duration. */
    Duration max() {
        return max;
    }

    /** The setting of that key of the configuration. */
    static Optional<ArmSetting> ofKey(String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.key.equals(key))
                .findFirst();
    }

    /** Why a key that is none of these cannot be changed by an arm; for people. */
    static String rejectionReason(String key) {
        String section = key.contains(".") ? key.substring(0, key.indexOf('.')) : key;
        String reason;
        if (INVARIANT_SETTINGS.contains(key) || INVARIANT_SETTINGS.contains(section)) {
            reason = "it belongs to the four rules, which are the same in all arms";
        } else if (PRIORITY_SETTINGS.contains(key) || PRIORITY_SETTINGS.contains(section)) {
            reason = "it belongs to the order by worth, which is the same in all arms";
        } else if (DESIGN_PARAMETERS.contains(key)) {
            reason = "the figures of the design are the same in all arms";
        } else {
            reason = "it is not known";
        }
        return reason + "; an arm may set stay-away-longest, call-longest or route";
    }
}
