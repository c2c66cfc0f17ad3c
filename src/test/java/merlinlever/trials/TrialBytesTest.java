package merlinlever.trials;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.compatibility.Fixture;
import merlinlever.shared.Words;
import merlinlever.term.Leadership;
import merlinlever.trials.Verdict.Kind;
import net.jqwik.api.Example;

/** A trial's identity, its counts, its end and its lease, as the backends share them. */
class TrialBytesTest {

    private final Fixture fixture = new Fixture("trials.txt");
    private final Trial trial = new Trial(
            "t",
            2,
            List.of(
                    new Trial.Arm("a", 1, null, null, null),
                    new Trial.Arm("b", 3, Duration.ofMillis(250), Duration.ofSeconds(2), "east")),
            0,
            0.05,
            0.1,
            0.02,
            Duration.ofDays(7),
            Duration.ofSeconds(10),
            2,
            3);

    @Example
    void theIdentityAndTheCounts() {
        fixture.pins("key", trial.key());
        Tally tally = new Tally(trial);
        List<Tally.Became> became =
                List.of(Tally.Became.SATISFIED, Tally.Became.LATE, Tally.Became.PUSHED_BACK, Tally.Became.OTHER);
        for (int i = 0; i < 12; i++) {
            tally.became(tally.asked("caller-" + i, "op" + i, false), became.get(i % 4), 1.5);
        }
        fixture.pins("tally", tally.write());
        Tally read = Tally.read(trial, fixture.bytes("tally"));
        assertEquals(tally.counts(0), read.counts(0));
        assertEquals(tally.counts(1), read.counts(1));
        assertArrayEquals(fixture.bytes("tally"), read.write());
    }

    @Example
    void eachKindOfEnd() {
        Map<String, Kind> kinds = Map.of(
                "goes-on",
                Kind.GOES_ON,
                "winner",
                Kind.WINNER,
                "harm",
                Kind.HARM,
                "futile",
                Kind.FUTILE,
                "time",
                Kind.TIME,
                "void",
                Kind.VOID);
        assertEquals(Kind.values().length, kinds.size());
        kinds.forEach((name, kind) -> {
            End end = new End(kind, 1, "b is better");
            fixture.pins("end." + name, end.write());
            assertEquals(end, End.read(trial, fixture.bytes("end." + name)));
        });
    }

    @Example
    void theLeaseIsAskedForAndGranted() {
        Words words = new Words(
                Duration.ZERO,
                "b1",
                5,
                Words.Kept.NOTHING,
                Words.Stated.usual(false),
                List::of,
                new SplittableRandom(1),
                line -> {});
        Duration now = Duration.ofSeconds(1);
        Lease lease = new Lease(words, "b1", trial);
        lease.ask(now);
        lease.answer(now, 9);
        for (String topic : List.of("trial-q/t", "trial-go/t")) {
            fixture.pins(topic, words.of("b1", topic).orElseThrow().value());
        }
        lease.hear(new Leadership.Leader("b1", 9));
        assertEquals(now.plus(trial.lease()), lease.until());
        assertEquals("trial/t", trial.topic());
    }
}
