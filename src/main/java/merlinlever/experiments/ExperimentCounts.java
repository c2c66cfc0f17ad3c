package merlinlever.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of what callers asked in one trial, by arm and by bucket of callers ({@link BucketAssignment}). Tallies add up: over the lives
 * of a backend and over backends. It is of one trial as it is stated; the counts of another, though of the same name, are refused.
 *
 * <p>A further try of an operation is the operation: it is not asked again, and what becomes of it takes the place of what became of
 * the try before. Here that is known by the operation's own mark; one that was tried before at another backend is known by being
 * marked as a further try, and its good end counts here while it was asked there.
 *
 * <p>For the test a bucket counts no more than {@value #OVER_MEAN} times the mean of all buckets (and {@value #FIRST}), so a caller with
 * half of the traffic weighs little; which operations count is settled when they are asked, so no outcome has a part in it.
 *
 * <p>Bounded: {@value BucketAssignment#BUCKETS} buckets, {@link DistinctSample#MOST} sampled callers, {@value #KNOWN} operations known for their further
 * tries; written it is under 14 KiB.
 */
public final class ExperimentCounts {

    /** What became of one try. */
    public enum RequestResult {
        SATISFIED,
        LATE,
        PUSHED_BACK,
        OTHER
    }

    /** All operations of one arm; values in thousandths of the highest, squares in millionths. */
    public record ArmTotals(long asked, long satisfied, long late, long pushedBack, long value, long squared) {}

    /** One operation, over all its tries here. */
    public static final class CountedRequest {
        final int bucket;
        final int arm;
        final boolean counts;
        private boolean good;
        private boolean pushedBack;

        private CountedRequest(int bucket, int arm, boolean counts) {
            this.bucket = bucket;
            this.arm = arm;
            this.counts = counts;
        }

        public int arm() {
            return arm;
        }
    }

    static final int FORM = 1;
    static final int OVER_MEAN = 4;
    static final int FIRST = 16;
    static final int KNOWN = 4096;
    static final int PARTS = 1000;
    private static final long MOST = 1L << 40;
    private static final int ASKED = 0;
    private static final int SATISFIED = 1;
    private static final int LATE = 2;
    private static final int PUSHED = 3;
    private static final int VALUE = 4;
    private static final int SQUARED = 5;

    private final Experiment trial;
    private final BucketAssignment split;
    private final long[][] raw;
    final long[] asked = new long[BucketAssignment.BUCKETS];
    final long[] satisfied = new long[BucketAssignment.BUCKETS];
    final long[] value = new long[BucketAssignment.BUCKETS];
    private long counted;
    final DistinctSample sample = new DistinctSample();
    /** Lives that ended without leaving while they split. */
    private long deaths;

    private long ranMs;
    private boolean open = true;
    private final Map<Long, CountedRequest> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, CountedRequest> eldest) {
            return size() > KNOWN;
        }
    };

    public ExperimentCounts(Experiment trial) {
        this.trial = trial;
        split = new BucketAssignment(trial);
        raw = new long[trial.arms().size()][6];
    }

    // ---- counting

    /**
     * An operation was asked, and goes by the arm of its caller.
     *
     * @param operation what a further try of it has as well, or null
     * @param again whether it is marked as a further try
     */
    public CountedRequest asked(String caller, String operation, boolean again) {
        long hash = split.hash(caller);
        int bucket = BucketAssignment.bucket(hash);
        int arm = split.arm(bucket);
        Long mark = operation == null ? null : BucketAssignment.hash(hash, operation.getBytes(StandardCharsets.UTF_8));
        CountedRequest before = mark == null ? null : known.get(mark);
        if (before != null) {
            return before;
        }
        sample.seen(hash, arm);
        boolean counts = asked[bucket] < FIRST + OVER_MEAN * (counted / BucketAssignment.BUCKETS);
        if (!again) {
            raw[arm][ASKED]++;
            if (counts) {
                asked[bucket]++;
                counted++;
            }
        }
        CountedRequest op = new CountedRequest(bucket, arm, counts);
        if (mark != null) {
            known.put(mark, op);
        }
        return op;
    }

    /** A try of it ended so, with that value. */
    public void became(CountedRequest op, RequestResult how, double worth) {
        long[] mine = raw[op.arm];
        if (op.good) {
            return;
        }
        if (op.pushedBack && how != RequestResult.PUSHED_BACK) {
            mine[PUSHED]--;
            op.pushedBack = false;
        }
        if (how == RequestResult.PUSHED_BACK && !op.pushedBack) {
            mine[PUSHED]++;
            op.pushedBack = true;
        }
        if (how != RequestResult.SATISFIED && how != RequestResult.LATE) {
            return;
        }
        op.good = true;
        long parts = Math.round(PARTS * Math.max(0, Math.min(1, worth / trial.valueMost())));
        mine[how == RequestResult.SATISFIED ? SATISFIED : LATE]++;
        mine[VALUE] += parts;
        mine[SQUARED] += parts * parts;
        if (op.counts) {
            satisfied[op.bucket] += how == RequestResult.SATISFIED ? 1 : 0;
            value[op.bucket] += parts;
        }
    }

    /** It has split for so much longer. */
    public void ran(Duration span) {
        ranMs += span.toMillis();
    }

    /** It leaves in good order, or goes on. */
    public void open(boolean goesOn) {
        open = goesOn;
    }

    // ---- adding up

    public void add(ExperimentCounts other) {
        for (int arm = 0; arm < raw.length; arm++) {
            for (int i = 0; i < raw[arm].length; i++) {
                raw[arm][i] += other.raw[arm][i];
            }
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKETS; bucket++) {
            asked[bucket] += other.asked[bucket];
            satisfied[bucket] += other.satisfied[bucket];
            value[bucket] += other.value[bucket];
        }
        counted += other.counted;
        sample.add(other.sample);
        deaths += other.deaths;
    }

    /** As what is left behind by a life of this backend: one that was not ended in good order died. */
    ExperimentCounts former() {
        deaths += open ? 1 : 0;
        open = false;
        return this;
    }

    public long deaths() {
        return deaths;
    }

    /** How long it has split. */
    public Duration ran() {
        return Duration.ofMillis(ranMs);
    }

    public ArmTotals counts(int arm) {
        long[] mine = raw[arm];
        return new ArmTotals(mine[ASKED], mine[SATISFIED], mine[LATE], mine[PUSHED], mine[VALUE], mine[SQUARED]);
    }

    /** What the test needs of an arm. */
    RunningMoments moments(int arm) {
        RunningMoments moments = new RunningMoments();
        for (int bucket = 0; bucket < BucketAssignment.BUCKETS; bucket++) {
            if (split.arm(bucket) == arm && asked[bucket] > 0) {
                // A further try that was asked for elsewhere, where that count is lost, is not more than one operation.
                moments.change(
                        0,
                        0,
                        0,
                        (double) asked[bucket],
                        (double) Math.min(satisfied[bucket], asked[bucket]),
                        Math.min(value[bucket], PARTS * asked[bucket]) / (double) PARTS);
            }
        }
        ArmTotals all = counts(arm);
        moments.square = all.asked() == 0 ? 0 : Math.min(1, all.squared() / (double) PARTS / PARTS / all.asked());
        return moments;
    }

    // ---- as a snapshot

    /** All of it, in one piece. */
    public byte[] write() {
        VarInts out = new VarInts();
        out.put(FORM);
        out.put(trial.digest() >>> 1);
        out.put(open ? 1 : 0);
        out.put(deaths);
        out.put(ranMs);
        for (long[] mine : raw) {
            for (long count : mine) {
                out.put(count);
            }
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKETS; bucket++) {
            boolean none = asked[bucket] == 0 && satisfied[bucket] == 0 && value[bucket] == 0;
            out.put(none ? 0 : asked[bucket] + 1);
            if (!none) {
                out.put(satisfied[bucket]);
                out.put(value[bucket]);
            }
        }
        sample.write(out);
        return out.written();
    }

    /** What was written, or null where it is of another trial or form, or spoilt: then nothing of it counts. */
    public static ExperimentCounts read(Experiment trial, byte[] octets) {
        ExperimentCounts tally = new ExperimentCounts(trial);
        VarInts in = new VarInts(octets);
        try {
            if (in.number(FORM) != FORM || in.number(Long.MAX_VALUE) != trial.digest() >>> 1) {
                return null;
            }
            tally.open = in.number(1) == 1;
            tally.deaths = in.number(1_000_000);
            tally.ranMs = in.number(MOST);
            for (long[] mine : tally.raw) {
                for (int i = 0; i < mine.length; i++) {
                    mine[i] = in.number(MOST * PARTS * (i == SQUARED ? PARTS : 1));
                }
            }
            for (int bucket = 0; bucket < BucketAssignment.BUCKETS; bucket++) {
                long asked = in.number(MOST);
                if (asked > 0) {
                    tally.asked[bucket] = asked - 1;
                    tally.satisfied[bucket] = in.number(MOST);
                    tally.value[bucket] = in.number(MOST * PARTS);
                    tally.counted += asked - 1;
                }
            }
            tally.sample.add(DistinctSample.read(in, trial.arms().size()));
            // In one way only: what is written otherwise was not written here.
            return in.over() && Arrays.equals(octets, tally.write()) ? tally : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
