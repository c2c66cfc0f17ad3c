package merlinlever.fleet.recovery;

import java.time.Duration;

/**
 * The settings of a {@link RecoverySequence}.
 *
 * @param answerTimeout how long to wait for peers; after it the reports of a majority are enough
 * @param firstQuerySpread the first query to each peer is delayed by a random part of this, so that a fleet that restarts
 *     at once does not query at once
 * @param initialRetryDelay after which an unanswered query is repeated; doubled each time up to {@code maxRetryDelay}
 * @param idempotencyWindow in which a duplicate of a non-idempotent request may arrive
 * @param maxPeersQueried peers beyond this number are not queried
 * @param reservationInterval between two reservations on disk of the time up to which non-idempotent requests may be
 *     started; zero for a process that has none
 */
public record RecoverySettings(
        Duration answerTimeout,
        Duration firstQuerySpread,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        Duration idempotencyWindow,
        int maxPeersQueried,
        Duration reservationInterval) {

    private static final Duration DEFAULT_ANSWER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DEFAULT_FIRST_QUERY_SPREAD = Duration.ofMillis(500);
    private static final Duration DEFAULT_INITIAL_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration DEFAULT_MAX_RETRY_DELAY = Duration.ofSeconds(2);
    private static final int DEFAULT_MAX_PEERS_QUERIED = 16;

    /** The default settings, for a service with that idempotency window. */
    public static RecoverySettings defaults(Duration idempotencyWindow, Duration reservationInterval) {
        return new RecoverySettings(
                DEFAULT_ANSWER_TIMEOUT,
                DEFAULT_FIRST_QUERY_SPREAD,
                DEFAULT_INITIAL_RETRY_DELAY,
                DEFAULT_MAX_RETRY_DELAY,
                idempotencyWindow,
                DEFAULT_MAX_PEERS_QUERIED,
                reservationInterval);
    }
}
