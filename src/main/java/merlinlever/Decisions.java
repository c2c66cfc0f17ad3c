package merlinlever;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What one {@link merlinlever.policy.OverloadController#decide} decided. The lists are to be carried out in the order in which
 * they stand here and each from its first entry on; every operation stands in the order that keeps the rules.
 */
public final class Decisions {

    /** An operation with the span that goes with the decision. */
    public record TimedDecision(RequestHandle request, Duration duration) {}

    /** A refusal: whether to ask the caller to try nowhere else, and for how long to stay away (zero: not said). */
    public record Rejection(RequestHandle request, boolean finalRejection, Duration retryAfter) {}

    /** The value to send back with every answer from here on, or NaN: as before. */
    public double backpressureLevel = Double.NaN;
    /** The health to report from here on, or null: as before. */
    public Boolean healthy;
    /** Connections without traffic for this long are to be closed from here on, or null: as before. */
    public Duration idleConnectionTimeout;
    /** Enter these in the table of fingerprints (and of shared reads) for the span. */
    public final List<TimedDecision> retained = new ArrayList<>();
    /** Final answer: an error. */
    public final List<RequestHandle> failed = new ArrayList<>();
    /** Stop the work on these. */
    public final List<RequestHandle> stopped = new ArrayList<>();
    /** Final answer: turned away, never run. */
    public final List<Rejection> rejected = new ArrayList<>();
    /** Take these out of the table. */
    public final List<RequestHandle> evicted = new ArrayList<>();
    /** Start these. */
    public final List<RequestHandle> started = new ArrayList<>();
    /** Answer these with the outcome of the operation that they repeat. */
    public final List<RequestHandle> coalesced = new ArrayList<>();
    /** Make the call that these wait for, and give it up after the span. */
    public final List<TimedDecision> downstreamCalls = new ArrayList<>();
    /** Let these go on without the call. */
    public final List<RequestHandle> skippedCalls = new ArrayList<>();
    /** Lines for the log. */
    public final List<String> logLines = new ArrayList<>();
    /** Nothing will name these handles again. */
    public final List<RequestHandle> released = new ArrayList<>();
    /** When a look and a settling are wanted next, or null: not before something happens. */
    public Duration nextDecisionAt;
}
