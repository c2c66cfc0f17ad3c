package merlinlever.fleet.quota;

import java.time.Duration;
import merlinlever.controller.QuotaDemand;

/** Uses the quota amounts that are granted to a backend. Times are measured from the start of the process. */
public interface QuotaConsumer {

    /** Returns the current usage of the quota and the demand. */
    QuotaDemand demand(Duration now, FleetQuota quota);

    /** Sets the amount that the consumer may use until the given time. Called repeatedly, even without a change. */
    void setAllowance(FleetQuota quota, long amount, Duration until);
}
