/**
 * The decisions of the overload controller; {@link merlinlever.policy.OverloadController} is the only entry.
 * Each class behind it decides one thing:
 *
 * <ul>
 *   <li>{@code AdmissionControl}: which arrivals are queued and which are rejected;
 *   <li>{@code DuplicateRequests}: what is retained for duplicates, and what becomes of a duplicate;
 *   <li>{@code Dispatcher}: which queued requests are started;
 *   <li>{@code DownstreamCalls}: how many downstream calls are in progress;
 *   <li>{@code QuotaLimiter}: how much of a limit of the whole fleet this server uses;
 *   <li>{@code Completions}: how a request ends, and when it is too late for it;
 *   <li>{@code CapacityEstimator}, {@code RunTimeEstimator}: what the server can do, how long a run takes;
 *   <li>{@code StallDetector}, {@code DrainState}, {@code IdempotencyWindow}: when nothing is to be started;
 *   <li>{@code BackpressureSignals}: what callers are sent without asking.
 * </ul>
 *
 * <p>{@code ServerState}, {@code Request} and {@code PriorityClass} hold the state that these share,
 * {@code ControllerMetrics} and {@code RejectionReason} are for monitoring; none of them decides anything.
 */
package merlinlever.policy;
