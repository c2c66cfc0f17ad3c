package merlinlever.trials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

class SequentialTest {

    private static final double ALPHA = 0.05;

    private static Trial trial(double difference) {
        Trial.Arm a = new Trial.Arm("a", 1, null, null, null);
        return new Trial(
                "t",
                1,
                List.of(a, new Trial.Arm("b", 1, null, null, null)),
                0,
                ALPHA,
                0.1,
                difference,
                Duration.ofDays(1),
                Duration.ofSeconds(10),
                1,
                3);
    }

    private static List<Rehearsed.Outcome> play(int n, Trial trial, Rehearsed.Drawn drawn) {
        return IntStream.range(0, n)
                .parallel()
                .mapToObj(i -> Rehearsed.play(trial, drawn, 31L * i + 7))
                .toList();
    }

    private static long count(List<Rehearsed.Outcome> all, Verdict.Kind kind) {
        return all.stream().filter(each -> each.verdict().kind() == kind).count();
    }

    /** What so many trials of that chance reach with a chance of less than one in ten thousand. */
    private static double most(int n, double p) {
        return n * p + 4 * Math.sqrt(n * p * (1 - p));
    }

    @Example
    void ofEqualArmsFewAreCalledWinnersHoweverOftenOneLooks() {
        int n = 2000;
        List<Rehearsed.Outcome> all = play(n, trial(0), new Rehearsed.Drawn(0.6, 0.6, 0, 0, 0, 3000));
        assertTrue(count(all, Verdict.Kind.WINNER) <= most(n, ALPHA), "" + count(all, Verdict.Kind.WINNER));
        assertTrue(count(all, Verdict.Kind.HARM) <= most(n, 0.1), "" + count(all, Verdict.Kind.HARM));
        long peeked = all.stream().filter(each -> each.peeked() > 0).count();
        assertTrue(
                peeked > 5 * ALPHA * n, "a fixed test that is looked at as often is wrong far more often: " + peeked);
    }

    @Example
    void callersWhoDifferAndOneWithHalfTheTrafficFakeNoWinner() {
        int n = 200;
        for (double heavy : new double[] {0, 0.5}) {
            List<Rehearsed.Outcome> all = play(n, trial(0), new Rehearsed.Drawn(0.5, 0.5, 200, 0.45, heavy, 10_000));
            assertTrue(
                    count(all, Verdict.Kind.WINNER) <= most(n, ALPHA), heavy + ": " + count(all, Verdict.Kind.WINNER));
            assertTrue(count(all, Verdict.Kind.HARM) <= most(n, 0.1), heavy + ": " + count(all, Verdict.Kind.HARM));
        }
    }

    @Example
    void aBetterArmWinsAndAWorseOneIsStoppedForHarm() {
        List<Rehearsed.Outcome> better = play(60, trial(0.02), new Rehearsed.Drawn(0.5, 0.6, 0, 0, 0, 40_000));
        assertTrue(better.stream()
                .allMatch(each -> each.verdict().kind() == Verdict.Kind.WINNER
                        && each.verdict().arm() == 1));
        List<Rehearsed.Outcome> worse = play(60, trial(0.02), new Rehearsed.Drawn(0.6, 0.5, 0, 0, 0, 40_000));
        assertTrue(worse.stream()
                .allMatch(each -> each.verdict().ends() && each.verdict().arm() == 0));
        assertTrue(
                worse.stream().mapToInt(Rehearsed.Outcome::at).average().getAsDouble()
                        < better.stream()
                                .mapToInt(Rehearsed.Outcome::at)
                                .average()
                                .getAsDouble(),
                "the looser level is sooner");
    }

    @Example
    void aDifferenceUnderTheSmallestIsNoWinnerAndEqualArmsEndAsFutile() {
        List<Rehearsed.Outcome> small = play(100, trial(0.05), new Rehearsed.Drawn(0.5, 0.52, 0, 0, 0, 40_000));
        assertTrue(count(small, Verdict.Kind.WINNER) <= most(100, ALPHA), "" + count(small, Verdict.Kind.WINNER));
        List<Rehearsed.Outcome> equal = play(100, trial(0.05), new Rehearsed.Drawn(0.5, 0.5, 0, 0, 0, 40_000));
        assertTrue(count(equal, Verdict.Kind.FUTILE) > 80, "" + count(equal, Verdict.Kind.FUTILE));
    }

    private static Tally tally(Trial trial, long seed, int n, double[] good, double[] worth, double come) {
        Tally tally = new Tally(trial);
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < n; i++) {
            Split split = new Split(trial);
            String caller = "c" + seed + "-" + i;
            int arm = split.arm(caller);
            if (arm == 1 && chance.nextDouble() >= come) {
                continue;
            }
            Tally.Op op = tally.asked(caller, null, false);
            tally.became(op, chance.nextDouble() < good[arm] ? Tally.Became.SATISFIED : Tally.Became.OTHER, worth[arm]);
        }
        return tally;
    }

    @Example
    void aSplitThatIsNotTheStatedOneVoidsTheTrialInPlaceOfCrowningAnyone() {
        Trial trial = trial(0.02);
        Sequential test = new Sequential(trial);
        Tally lost = tally(trial, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 0.5);
        assertEquals(Verdict.Kind.VOID, test.look(lost, Duration.ZERO).kind());
        Tally whole = tally(trial, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 1);
        assertEquals(
                new Verdict(
                        Verdict.Kind.WINNER, 1, test.look(whole, Duration.ZERO).why()),
                test.look(whole, Duration.ZERO));
    }

    @Example
    void aGoodSplitIsSeldomCalledWrongHoweverOftenOneLooks() {
        int wrong = 0;
        int n = 2000;
        for (int seed = 0; seed < n; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            long[] counts = new long[2];
            boolean once = false;
            for (int i = 0; i < 400; i++) {
                counts[chance.nextInt(4) == 0 ? 0 : 1]++;
                once |= i % 10 == 9 && Ratio.wrong(counts, new double[] {0.25, 0.75}, 0);
            }
            wrong += once ? 1 : 0;
        }
        assertTrue(wrong <= most(n, Ratio.LEVEL / 2), wrong + " of " + n);
        assertTrue(Ratio.wrong(new long[] {200, 200}, new double[] {0.25, 0.75}, 0));
    }

    @Example
    void valueDecidesWhereTheSharesAreEqualAndNotAgainstThem() {
        Trial trial = trial(0.02);
        Sequential test = new Sequential(trial);
        Tally worth = tally(trial, 2, 6000, new double[] {0.7, 0.7}, new double[] {0.5, 0.8}, 1);
        assertEquals(Verdict.Kind.WINNER, test.look(worth, Duration.ZERO).kind());
        assertEquals(1, test.look(worth, Duration.ZERO).arm());
        // More are satisfied, with less: neither wins, and an arm that is worse by one measure than the safe one does
        // harm.
        Tally mixed = tally(trial, 3, 6000, new double[] {0.6, 0.8}, new double[] {0.9, 0.3}, 1);
        assertEquals(Verdict.Kind.HARM, test.look(mixed, Duration.ZERO).kind());
        assertEquals(0, test.look(mixed, Duration.ZERO).arm());
    }

    @Example
    void noDifferenceEndsAtTheLongestTimeAndNoSooner() {
        Trial trial = trial(0.02);
        Tally equal = tally(trial, 4, 2000, new double[] {0.7, 0.7}, new double[] {1, 1}, 1);
        assertEquals(
                Verdict.Kind.GOES_ON,
                new Sequential(trial)
                        .look(equal, trial.longest().minusMillis(1))
                        .kind());
        assertEquals(
                Verdict.Kind.TIME,
                new Sequential(trial).look(equal, trial.longest()).kind());
    }
}
