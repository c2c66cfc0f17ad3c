package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import merlinlever.fleet.experiments.RunningMoments.BucketSums;

/**
 * Counts the results of requests in one experiment by arm and by bucket of callers ({@link BucketAssignment}). Counts
 * of several processes and backends can be added up; counts of a different experiment are rejected, even under the same
 * name.
 *
 * <p>A retry is not counted as a new request, and its result replaces the result of the previous attempt. The request's
 * key identifies a retry of a request that this backend has received. A retry of a request first sent to another
 * backend is identified by its mark: this backend counts its success, and the other backend counts the request.
 *
 * <p>The statistical test includes at most {@value #MAX_OVER_MEAN} times the mean of all buckets plus
 * {@value #MIN_BUCKET_REQUESTS} requests of a bucket, so a caller with half of the traffic has little weight. A request
 * is included or excluded on arrival, so the selection does not depend on results.
 *
 * <p>Memory is bounded by {@value BucketAssignment#BUCKET_COUNT} buckets, {@link DistinctSample#MAX_CALLERS} sampled
 * callers and {@value #MAX_KNOWN_REQUESTS} requests kept for matching retries; an encoding has less than 14 KiB. Used
 * on the event loop only.
 */
public final class ExperimentCounts {

    /** The result of one attempt; not part of any encoding. */
    public enum RequestResult {
        SERVED,
        LATE,
        REJECTED,
        OTHER
    }

    /** Totals of one arm; values in thousandths of the maximum value, squared values in millionths. */
    public record ArmTotals(long requests, long served, long late, long rejected, long value, long squaredValue) {}

    private static final class MutableArmTotals {
        private long requests;
        private long served;
        private long late;
        private long rejected;
        private long value;
        private long squaredValue;

        ArmTotals snapshot() {
            return new ArmTotals(requests, served, late, rejected, value, squaredValue);
        }

        void add(MutableArmTotals other) {
            requests += other.requests;
            served += other.served;
            late += other.late;
            rejected += other.rejected;
            value += other.value;
            squaredValue += other.squaredValue;
        }

        void encodeTo(VarInts out) {
            out.put(requests);
            out.put(served);
            out.put(late);
            out.put(rejected);
            out.put(value);
            out.put(squaredValue);
        }

        void decode(VarInts in) {
            // All counters except the squares share the bound of the value.
            requests = in.next(MAX_COUNT * VALUE_SCALE);
            served = in.next(MAX_COUNT * VALUE_SCALE);
            late = in.next(MAX_COUNT * VALUE_SCALE);
            rejected = in.next(MAX_COUNT * VALUE_SCALE);
            value = in.next(MAX_COUNT * VALUE_SCALE);
            squaredValue = in.next(MAX_COUNT * VALUE_SCALE * VALUE_SCALE);
        }
    }

    /** A request with all its attempts at this backend. */
    public static final class CountedRequest {
        private final int bucket;
        private final int arm;
        /** Whether the statistical test includes the request. */
        private final boolean includedInTest;

        private boolean succeeded;
        private boolean rejected;

        private CountedRequest(int bucket, int arm, boolean includedInTest) {
            this.bucket = bucket;
            this.arm = arm;
            this.includedInTest = includedInTest;
        }

        /** Returns the arm of the request. */
        public int arm() {
            return arm;
        }
    }

    static final int FORMAT = 1;
    static final int MAX_OVER_MEAN = 4;
    static final int MIN_BUCKET_REQUESTS = 16;
    static final int MAX_KNOWN_REQUESTS = 4096;
    /** Number of parts into which the maximum value is divided for counting. */
    static final int VALUE_SCALE = 1000;

    private static final long MAX_COUNT = 1L << 40;
    private static final long MAX_CRASHES = 1_000_000;

    private final Experiment experiment;
    private final BucketAssignment assignment;
    private final MutableArmTotals[] totals;
    /** Requests, served requests and values that the statistical test includes, by bucket. */
    final long[] requests = new long[BucketAssignment.BUCKET_COUNT];

    final long[] served = new long[BucketAssignment.BUCKET_COUNT];
    final long[] value = new long[BucketAssignment.BUCKET_COUNT];
    private long requestsInTest;
    final DistinctSample sample = new DistinctSample();
    /** Number of processes that ended without a shutdown while splitting callers. */
    private long crashes;

    private long splitMs;
    /** Whether this process is splitting callers, so an end without a shutdown counts as a crash. */
    private boolean splitting = true;

    private final Map<Long, CountedRequest> knownRequests = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, CountedRequest> eldest) {
            return size() > MAX_KNOWN_REQUESTS;
        }
    };

    /** Creates empty counts. */
    public ExperimentCounts(Experiment experiment) {
        this.experiment = experiment;
        assignment = new BucketAssignment(experiment);
        totals = new MutableArmTotals[experiment.arms().size()];
        Arrays.setAll(totals, arm -> new MutableArmTotals());
    }

    // ---- counting

    /**
     * Counts an arriving request in the arm of the caller.
     *
     * @param requestKey key that the request shares with its retries, if the request has a key
     * @param retry whether the request is marked as a retry
     */
    public CountedRequest requestArrived(String caller, Optional<String> requestKey, boolean retry) {
        long callerHash = assignment.hash(caller);
        Optional<Long> requestHash =
                requestKey.map(key -> BucketAssignment.hash(callerHash, key.getBytes(StandardCharsets.UTF_8)));
        Optional<CountedRequest> known = requestHash.map(knownRequests::get);
        if (known.isPresent()) {
            return known.get();
        }
        int bucket = BucketAssignment.bucket(callerHash);
        int arm = assignment.armOfBucket(bucket);
        sample.add(callerHash, arm);
        boolean includedInTest = requests[bucket] < maxBucketRequests();
        if (!retry) {
            totals[arm].requests++;
            if (includedInTest) {
                requests[bucket]++;
                requestsInTest++;
            }
        }
        CountedRequest request = new CountedRequest(bucket, arm, includedInTest);
        requestHash.ifPresent(hash -> knownRequests.put(hash, request));
        return request;
    }

    /** Returns the number of requests of one bucket that the statistical test includes at present. */
    private long maxBucketRequests() {
        return MIN_BUCKET_REQUESTS + MAX_OVER_MEAN * (requestsInTest / BucketAssignment.BUCKET_COUNT);
    }

    /** Counts the result of an attempt, unless an earlier attempt of the request succeeded. */
    public void attemptEnded(CountedRequest request, RequestResult result, double requestValue) {
        if (request.succeeded) {
            return;
        }
        MutableArmTotals arm = totals[request.arm];
        boolean rejected = result == RequestResult.REJECTED;
        if (rejected != request.rejected) {
            arm.rejected += rejected ? 1 : -1;
            request.rejected = rejected;
        }
        if (result == RequestResult.SERVED || result == RequestResult.LATE) {
            request.succeeded = true;
            countSuccess(request, result == RequestResult.SERVED, scaledValue(requestValue));
        }
    }

    private void countSuccess(CountedRequest request, boolean inTime, long scaledValue) {
        MutableArmTotals arm = totals[request.arm];
        if (inTime) {
            arm.served++;
        } else {
            arm.late++;
        }
        arm.value += scaledValue;
        arm.squaredValue += scaledValue * scaledValue;
        if (request.includedInTest) {
            served[request.bucket] += inTime ? 1 : 0;
            value[request.bucket] += scaledValue;
        }
    }

    private long scaledValue(double requestValue) {
        return Math.round(VALUE_SCALE * Math.max(0, Math.min(1, requestValue / experiment.maxValue())));
    }

    /** Adds to the time for which this process has split callers. */
    public void addSplitTime(Duration duration) {
        splitMs += duration.toMillis();
    }

    /** Sets whether this process is splitting callers; an end without a shutdown then counts as a crash. */
    public void setSplitting(boolean splitting) {
        this.splitting = splitting;
    }

    // ---- aggregation

    /** Adds the counts that another process made for the same experiment. */
    public void add(ExperimentCounts other) {
        for (int arm = 0; arm < totals.length; arm++) {
            totals[arm].add(other.totals[arm]);
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            requests[bucket] += other.requests[bucket];
            served[bucket] += other.served[bucket];
            value[bucket] += other.value[bucket];
        }
        requestsInTest += other.requestsInTest;
        sample.merge(other.sample);
        crashes += other.crashes;
    }

    /**
     * Marks the counts as those of an ended process, which crashed if it was still splitting callers; returns this
     * object.
     */
    ExperimentCounts markProcessEnded() {
        crashes += splitting ? 1 : 0;
        splitting = false;
        return this;
    }

    /** Returns the number of processes that crashed while splitting callers. */
    public long crashes() {
        return crashes;
    }

    /** Returns how long this process and the earlier processes of the backend have split callers. */
    public Duration splitTime() {
        return Duration.ofMillis(splitMs);
    }

    /** Returns the totals of all requests of an arm. */
    public ArmTotals totals(int arm) {
        return totals[arm].snapshot();
    }

    /** Returns the sums over the buckets of an arm for the statistical test. */
    RunningMoments moments(int arm) {
        RunningMoments moments = new RunningMoments();
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            if (assignment.armOfBucket(bucket) == arm && requests[bucket] > 0) {
                // Limits the shares to 1: if another backend lost its counts, a success can be counted without its
                // request.
                moments.update(
                        BucketSums.EMPTY,
                        new BucketSums(
                                requests[bucket],
                                Math.min(served[bucket], requests[bucket]),
                                Math.min(value[bucket], VALUE_SCALE * requests[bucket]) / (double) VALUE_SCALE));
            }
        }
        ArmTotals all = totals(arm);
        moments.setMeanSquareValue(
                all.requests() == 0
                        ? 0
                        : Math.min(1, all.squaredValue() / (double) VALUE_SCALE / VALUE_SCALE / all.requests()));
        return moments;
    }

    // ---- encoding

    /** Encodes the counts as an entry of the replicated store. */
    public byte[] encode() {
        VarInts out = new VarInts();
        out.put(FORMAT);
        out.put(experiment.digest() >>> 1);
        out.put(splitting ? 1 : 0);
        out.put(crashes);
        out.put(splitMs);
        for (MutableArmTotals arm : totals) {
            arm.encodeTo(out);
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            if (requests[bucket] == 0 && served[bucket] == 0 && value[bucket] == 0) {
                out.put(0);
            } else {
                out.put(requests[bucket] + 1);
                out.put(served[bucket]);
                out.put(value[bucket]);
            }
        }
        sample.encodeTo(out);
        return out.toByteArray();
    }

    /** Decodes an entry; returns empty if the entry is corrupt or has a different experiment or format. */
    public static Optional<ExperimentCounts> decode(Experiment experiment, byte[] bytes) {
        ExperimentCounts counts = new ExperimentCounts(experiment);
        VarInts in = new VarInts(bytes);
        try {
            if (in.next(FORMAT) != FORMAT || in.next(Long.MAX_VALUE) != experiment.digest() >>> 1) {
                return Optional.empty();
            }
            counts.decodeContent(in);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        // The encoding is canonical: any other bytes with the same content are corrupt.
        return in.isAtEnd() && Arrays.equals(bytes, counts.encode()) ? Optional.of(counts) : Optional.empty();
    }

    private void decodeContent(VarInts in) {
        splitting = in.next(1) == 1;
        crashes = in.next(MAX_CRASHES);
        splitMs = in.next(MAX_COUNT);
        for (MutableArmTotals arm : totals) {
            arm.decode(in);
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            long requestsPlusOne = in.next(MAX_COUNT);
            if (requestsPlusOne > 0) {
                requests[bucket] = requestsPlusOne - 1;
                served[bucket] = in.next(MAX_COUNT);
                value[bucket] = in.next(MAX_COUNT * VALUE_SCALE);
                requestsInTest += requests[bucket];
            }
        }
        sample.merge(DistinctSample.decode(in, experiment.arms().size()));
    }
}
