package merlinlever.core;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import merlinlever.QuotaDemand;
import merlinlever.QuotaGrant;
import merlinlever.policy.OverloadController;

/** What this backend is told of its return and of its part in the fleet, kept for a module that is not there yet. */
final class PendingFleetState {

    private OverloadController control;
    /** Null as long as nothing is told of a return. */
    private Duration keyedFrom, keyedTo;

    private double guessed, completions;
    /** The limits of the whole fleet that it has a share of, by tariff, -1 for calls; whether they are a second's. */
    private final Map<Integer, Boolean> limited = new TreeMap<>();

    /** The module is there; told what came before it. */
    void begin(OverloadController module, Duration now) {
        control = module;
        control.setWarmStartEstimate(guessed, completions);
        // Nothing of what is shared with others before it is told its share.
        limited.forEach(
                (tariff, perSecond) -> control.setQuota(tariff, new QuotaGrant(0, perSecond, now, Optional.empty())));
        if (keyedFrom != null) {
            control.permitNonIdempotentStarts(keyedFrom, keyedTo);
        }
    }

    void keyed(Duration from, Duration to) {
        keyedFrom = from;
        keyedTo = to;
        if (control != null) {
            control.permitNonIdempotentStarts(from, to);
        }
    }

    void share(int tariff, long share, boolean perSecond, Duration until, Duration longest) {
        limited.put(tariff, perSecond);
        if (control != null) {
            control.setQuota(tariff, new QuotaGrant(share, perSecond, until, Optional.ofNullable(longest)));
        }
    }

    QuotaDemand demand(Duration now, int tariff) {
        return control == null ? QuotaDemand.NONE : control.quotaDemand(now, tariff);
    }

    void guess(double capacity, double of) {
        guessed = capacity;
        completions = of;
        if (control != null) {
            control.setWarmStartEstimate(capacity, of);
        }
    }
}
