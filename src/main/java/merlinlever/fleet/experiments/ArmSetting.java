package merlinlever.fleet.experiments;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The settings that an arm may change. Each setting affects a single request after the controller has decided about the
 * request, and only within this decision: a shorter Retry-After, an earlier timeout of a downstream call, a preferred
 * route among several equal ones. Therefore, no arm changes which requests are admitted, prioritized, retried or
 * rejected.
 */
public enum ArmSetting {
    /** Upper bound of the Retry-After sent to rejected callers. */
    MAX_RETRY_AFTER("stay-away-longest", Duration.ZERO, Duration.ofMinutes(1)),
    /** Upper bound of the timeout of a downstream call. */
    MAX_CALL_DURATION("call-longest", Duration.ofMillis(10), Duration.ofMinutes(1)),
    /** The configured route that is tried first if several routes are usable. */
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

    /** Returns the minimum duration, or null if the value of this setting is not a duration. */
    Duration min() {
        return min;
    }

    /** Returns the maximum duration, or null if the value of this setting is not a duration. */
    Duration max() {
        return max;
    }

    /** Returns the setting with the given configuration key. */
    static Optional<ArmSetting> ofKey(String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.key.equals(key))
                .findFirst();
    }

    /** Returns a human-readable reason why an arm cannot change a key that is not one of these settings. */
    static String rejectionReason(String key) {
        String section = key.contains(".") ? key.substring(0, key.indexOf('.')) : key;
        String reason;
        if (INVARIANT_SETTINGS.contains(key) || INVARIANT_SETTINGS.contains(section)) {
            reason = "it belongs to the safety invariants, which are the same in all arms";
        } else if (PRIORITY_SETTINGS.contains(key) || PRIORITY_SETTINGS.contains(section)) {
            reason = "it belongs to the prioritization by value, which is the same in all arms";
        } else if (DESIGN_PARAMETERS.contains(key)) {
            reason = "it is a design parameter, which is the same in all arms";
        } else {
            reason = "it is not a known setting";
        }
        return reason + "; an arm may set stay-away-longest, call-longest or route";
    }
}
