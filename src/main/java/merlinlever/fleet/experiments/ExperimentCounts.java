package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import merlinlever.fleet.experiments.RunningMoments.BucketSums;

/**
 * The results of requests in one experiment, by arm and by bucket of callers ({@link BucketAssignment}). Counts of several processes and
 * backends can be added up; those of another experiment, also of the same name, are rejected.
 *
 * <p>A retry belongs to its request: it is not counted as a new one, and its result replaces that of the attempt before. Here that is known
 * by the request's key; a retry of a request that was first sent to another backend is known by being marked as one, and its success
 * counts here while the request counts there.
 *
 * <p>For the test a bucket counts no more than {@value #MAX_OVER_MEAN} times the mean of all buckets (and {@value #MIN_BUCKET_REQUESTS}), so
 * a caller with half of the traffic has little weight; which requests count is decided when they arrive, so no result has an influence on
 * it.
 *
 * <p>Bounded: {@value BucketAssignment#BUCKET_COUNT} buckets, {@link DistinctSample#MAX_CALLERS} sampled callers,
 * {@value #MAX_KNOWN_REQUESTS} requests that are remembered for their retries; encoded it is under 14 KiB. Event loop only.
 */
public final class ExperimentCounts {

    /** The result of one attempt. On the wire nowhere. */
    public enum RequestResult {
        SERVED,
        LATE,
        REJECTED,
        OTHER
    }

    /** All requests of one arm; values in thousandths of the highest, squares of these in millionths. */
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
            // The bounds are as wide for all but the squares.
            requests = in.next(MAX_COUNT * VALUE_SCALE);
            served = in.next(MAX_COUNT * VALUE_SCALE);
            late = in.next(MAX_COUNT * VALUE_SCALE);
            rejected = in.next(MAX_COUNT * VALUE_SCALE);
            value = in.next(MAX_COUNT * VALUE_SCALE);
            squaredValue = in.next(MAX_COUNT * VALUE_SCALE * VALUE_SCALE);
        }
    }

    /** One request, over all its attempts here. */
    public static final class CountedRequest {
        private final int bucket;
        private final int arm;
        /** Whether it counts for the test. */
        private final boolean tested;

        private boolean succeeded;
        private boolean rejected;

        private CountedRequest(int bucket, int arm, boolean tested) {
            this.bucket = bucket;
            this.arm = arm;
            this.tested = tested;
        }

        /** The arm that the request belongs to. */
        public int arm() {
            return arm;
        }
    }

    static final int FORMAT = 1;
    static final int MAX_OVER_MEAN = 4;
    static final int MIN_BUCKET_REQUESTS = 16;
    static final int MAX_KNOWN_REQUESTS = 4096;
    /** Values are counted in so many parts of the highest one. */
    static final int VALUE_SCALE = 1000;

    private static final long MAX_COUNT = 1L << 40;
    private static final long MAX_DEATHS = 1_000_000;

    private final Experiment experiment;
    private final BucketAssignment assignment;
    private final MutableArmTotals[] totals;
    /** What counts for the test, by bucket. */
    final long[] requests = new long[BucketAssignment.BUCKET_COUNT];

    final long[] served = new long[BucketAssignment.BUCKET_COUNT];
    final long[] value = new long[BucketAssignment.BUCKET_COUNT];
    private long testedRequests;
    final DistinctSample sample = new DistinctSample();
    /** Processes that ended without a shutdown while they were splitting. */
    private long deaths;

    private long splitMs;
    /** Whether this process is splitting, so that its end would be a death. */
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
     * Counts an arriving request for the arm of its caller.
     *
     * @param requestKey which retries of the request have as well, if there is one
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
        boolean tested = requests[bucket] < maxBucketRequests();
        if (!retry) {
            totals[arm].requests++;
            if (tested) {
                requests[bucket]++;
                testedRequests++;
            }
        }
        CountedRequest request = new CountedRequest(bucket, arm, tested);
        requestHash.ifPresent(hash -> knownRequests.put(hash, request));
        return request;
    }

    /** So many requests of one bucket count for the test at present. */
    private long maxBucketRequests() {
        return MIN_BUCKET_REQUESTS + MAX_OVER_MEAN * (testedRequests / BucketAssignment.BUCKET_COUNT);
    }

    /** Counts the result of an attempt, unless an earlier one of the request succeeded. */
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
        if (request.tested) {
            served[request.bucket] += inTime ? 1 : 0;
            value[request.bucket] += scaledValue;
        }
    }

    private long scaledValue(double requestValue) {
        return Math.round(VALUE_SCALE * Math.max(0, Math.min(1, requestValue / experiment.maxValue())));
    }

    /** This process has split callers for so much longer. */
    public void addSplitTime(Duration duration) {
        splitMs += duration.toMillis();
    }

    /** Whether this process is splitting callers: if it ends meanwhile without a shutdown, that counts as a death. */
    public void setSplitting(boolean splitting) {
        this.splitting = splitting;
    }

    // ---- adding up

    /** Adds the counts of another process of the same experiment. */
    public void add(ExperimentCounts other) {
        for (int arm = 0; arm < totals.length; arm++) {
            totals[arm].add(other.totals[arm]);
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            requests[bucket] += other.requests[bucket];
            served[bucket] += other.served[bucket];
            value[bucket] += other.value[bucket];
        }
        testedRequests += other.testedRequests;
        sample.merge(other.sample);
        deaths += other.deaths;
    }

    /** These are the counts of an earlier process of this backend: it has died if it was still splitting. */
    ExperimentCounts ofEndedProcess() {
        deaths += splitting ? 1 : 0;
        splitting = false;
        return this;
    }

    /** Processes that died while they were splitting. */
    public long deaths() {
        return deaths;
    }

    /** How long callers were split by the process, and those before it. */
    public Duration splitTime() {
        return Duration.ofMillis(splitMs);
    }

    /** All requests of an arm. */
    public ArmTotals totals(int arm) {
        return totals[arm].snapshot();
    }

    /** What the test needs of an arm. */
    RunningMoments moments(int arm) {
        RunningMoments moments = new RunningMoments();
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            if (assignment.armOfBucket(bucket) == arm && requests[bucket] > 0) {
                // A success whose request was counted at a backend with lost counts must not make a share over 1.
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

    // ---- bytes

    /** The counts as an entry of the replicated store. */
    public byte[] encode() {
        VarInts out = new VarInts();
        out.put(FORMAT);
        out.put(experiment.digest() >>> 1);
        out.put(splitting ? 1 : 0);
        out.put(deaths);
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

    /** The counts in an entry; nothing if they are of another experiment or format, or corrupt. */
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
        // Anything but the one encoding of these counts was not written by this class.
        return in.isAtEnd() && Arrays.equals(bytes, counts.encode()) ? Optional.of(counts) : Optional.empty();
    }

    private void decodeContent(VarInts in) {
        splitting = in.next(1) == 1;
        deaths = in.next(MAX_DEATHS);
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
                testedRequests += requests[bucket];
            }
        }
        sample.merge(DistinctSample.decode(in, experiment.arms().size()));
    }
}
