package merlinlever.fleet.recovery;

import java.time.Duration;

/**
 * The settings of a {@link RecoverySequence}.
 *
 * @param answerTimeout time to wait for the reports of all live peers; afterwards the reports of a majority are enough
 * @param firstQuerySpread maximum random delay of the first query to a peer, which spreads the queries after a restart
 *     of the whole fleet
 * @param initialRetryDelay delay before the first repetition of an unanswered query; doubles with each repetition
 * @param maxRetryDelay upper bound of the delay before a repetition
 * @param idempotencyWindow time during which a duplicate of a non-idempotent request may arrive
 * @param maxPeersQueried maximum number of peers to query
 * @param reservationInterval time between two reservations on disk for non-idempotent requests; zero for a process
 *     without such requests
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

    /** Returns the default settings for a service with the given idempotency window. */
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
