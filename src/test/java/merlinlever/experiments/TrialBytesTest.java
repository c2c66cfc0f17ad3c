package merlinlever.experiments;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.compatibility.Fixture;
import merlinlever.election.Leadership;
import merlinlever.experiments.StoppingDecision.Kind;
import merlinlever.replication.ReplicatedStore;
import net.jqwik.api.Example;

/** A trial's identity, its counts, its end and its lease, as the backends share them. */
class TrialBytesTest {

    private final Fixture fixture = new Fixture("trials.txt");
    private final Experiment trial = new Experiment(
            "t",
            2,
            List.of(
                    new Experiment.Arm("a", 1, null, null, null),
                    new Experiment.Arm("b", 3, Duration.ofMillis(250), Duration.ofSeconds(2), "east")),
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
        ExperimentCounts tally = new ExperimentCounts(trial);
        List<ExperimentCounts.RequestResult> became = List.of(
                ExperimentCounts.RequestResult.SATISFIED,
                ExperimentCounts.RequestResult.LATE,
                ExperimentCounts.RequestResult.PUSHED_BACK,
                ExperimentCounts.RequestResult.OTHER);
        for (int i = 0; i < 12; i++) {
            tally.became(tally.asked("caller-" + i, "op" + i, false), became.get(i % 4), 1.5);
        }
        fixture.pins("tally", tally.write());
        ExperimentCounts read = ExperimentCounts.read(trial, fixture.bytes("tally"));
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
            ExperimentResult end = new ExperimentResult(kind, 1, "b is better");
            fixture.pins("end." + name, end.write());
            assertEquals(end, ExperimentResult.read(trial, fixture.bytes("end." + name)));
        });
    }

    @Example
    void theLeaseIsAskedForAndGranted() {
        ReplicatedStore words = new ReplicatedStore(
                Duration.ZERO,
                "b1",
                5,
                ReplicatedStore.PersistedEntries.NOTHING,
                ReplicatedStore.ReplicationSettings.usual(false),
                List::of,
                new SplittableRandom(1),
                line -> {});
        Duration now = Duration.ofSeconds(1);
        SplitLease lease = new SplitLease(words, "b1", trial);
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
