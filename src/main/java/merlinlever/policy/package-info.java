/**
 * The decisions of the overload controller; {@link merlinlever.policy.OverloadController} is the only entry.
 * Each of the other classes makes one kind of decision:
 *
 * <ul>
 *   <li>{@code AdmissionControl}: which arriving requests are queued and which are rejected;
 *   <li>{@code DuplicateRequests}: the requests retained for duplicates, and the handling of duplicates;
 *   <li>{@code Dispatcher}: which queued requests are started;
 *   <li>{@code DownstreamCalls}: how many downstream calls are in progress;
 *   <li>{@code QuotaLimiter}: how much of a fleet-wide limit this server uses;
 *   <li>{@code Completions}: how a request ends, and when a request has expired;
 *   <li>{@code CapacityEstimator}, {@code RunTimeEstimator}: estimates of capacity and run time;
 *   <li>{@code StallDetector}, {@code DrainState}, {@code IdempotencyWindow}: when no request may be started;
 *   <li>{@code BackpressureSignals}: which signals callers receive to reduce their load.
 * </ul>
 *
 * <p>{@code ServerState}, {@code Request} and {@code PriorityClass} hold the shared state;
 * {@code ControllerMetrics} and {@code RejectionReason} are for monitoring. None of these makes decisions.
 *
 * <p>The decisions keep four safety rules, to which comments refer by number:
 *
 * <ol>
 *   <li>Every request gets exactly one answer, before its deadline.
 *   <li>A request with side effects never runs twice.
 *   <li>During a drain, requests that arrived after the grace period do not run.
 *   <li>Load and memory stay within the limits that the server and its downstream service can sustain.
 * </ol>
 */
package merlinlever.policy;
