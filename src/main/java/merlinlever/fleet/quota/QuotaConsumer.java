package merlinlever.fleet.quota;

import java.time.Duration;
import merlinlever.controller.QuotaDemand;

/** Spends what a backend is granted of the quotas. Durations are since the process began. */
public interface QuotaConsumer {

    /** What is in use of the quota now, and what would be used. */
    QuotaDemand demand(Duration now, FleetQuota quota);

    /** It may use that amount until then; called again and again, also when nothing changed. */
    void setAllowance(FleetQuota quota, long amount, Duration until);
}
