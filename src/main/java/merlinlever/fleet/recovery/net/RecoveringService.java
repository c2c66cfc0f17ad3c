package merlinlever.fleet.recovery.net;

import java.time.Duration;

/**
 * The service under recovery. Called on the event loop thread; durations are measured from the start of the process.
 */
public interface RecoveringService {

    /** A process that serves no requests. */
    RecoveringService NONE = new RecoveringService() {
        @Override
        public void admitNonIdempotent(Duration from, Duration until) {}

        @Override
        public void warmStart(double capacity, double weight) {}

        @Override
        public double learnedCapacity() {
            return 0;
        }

        @Override
        public boolean isWarmedUp() {
            return true;
        }
    };

    /**
     * Sets the limits for non-idempotent requests. A request that arrived before {@code from} must not be started, and
     * no request must be started at or after {@code until}.
     */
    void admitNonIdempotent(Duration from, Duration until);

    /**
     * Sets an initial estimate of the capacity of the service.
     *
     * @param capacity number of requests that the admission queue can hold
     * @param weight weight of the estimate, in completed requests
     */
    void warmStart(double capacity, double weight);

    /** Returns the capacity that this incarnation has learned, or 0 before the first estimate. */
    double learnedCapacity();

    /** Returns whether the service has warmed up. */
    boolean isWarmedUp();
}
