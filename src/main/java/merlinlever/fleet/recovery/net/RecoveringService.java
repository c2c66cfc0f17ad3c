package merlinlever.fleet.recovery.net;

import java.time.Duration;

/** The service whose recovery is coordinated. All calls are on the loop's thread; durations are since the process began. */
public interface RecoveringService {

    /** A process that serves no requests. */
    RecoveringService NONE = new RecoveringService() {
        @Override
        public void admitNonIdempotent(Duration from, Duration until) {}

        @Override
        public void warmStart(double capacity, double completions) {}

        @Override
        public double learnedCapacity() {
            return 0;
        }

        @Override
        public boolean isWarmedUp() {
            return true;
        }
    };

    /** Non-idempotent requests that arrived before {@code from} are not to be started, nor any at or after {@code until}. */
    void admitNonIdempotent(Duration from, Duration until);

    /**
     * An estimate of the service's capacity from before its start.
     *
     * @param capacity requests that its admission queue can hold
     * @param completions how much the estimate counts, in completed requests
     */
    void warmStart(double capacity, double completions);

    /** The capacity learned by this incarnation, 0 if none was learned yet. */
    double learnedCapacity();

    /** Whether the service has warmed up. */
    boolean isWarmedUp();
}
