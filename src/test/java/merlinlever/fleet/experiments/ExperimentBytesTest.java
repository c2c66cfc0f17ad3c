package merlinlever.fleet.experiments;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.compatibility.Fixture;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.experiments.StoppingDecision.Kind;
import merlinlever.fleet.replication.ReplicatedStore;
import org.junit.jupiter.api.Test;

/** Guards the stored encodings of an experiment's key, counts, result and lease against incompatible changes. */
class ExperimentBytesTest {

    private final Fixture fixture = new Fixture("trials.txt");
    private final Experiment experiment = new Experiment(
            "t",
            2,
            List.of(
                    Experiment.Arm.unchanged("a", 1),
                    new Experiment.Arm(
                            "b",
                            3,
                            Optional.of(Duration.ofMillis(250)),
                            Optional.of(Duration.ofSeconds(2)),
                            Optional.of("east"))),
            0,
            0.05,
            0.1,
            0.02,
            Duration.ofDays(7),
            Duration.ofSeconds(10),
            2,
            3);

    @Test
    void identityAndCounts() {
        fixture.assertMatches("key", experiment.key());
        ExperimentCounts counts = new ExperimentCounts(experiment);
        List<ExperimentCounts.RequestResult> results = List.of(
                ExperimentCounts.RequestResult.SERVED,
                ExperimentCounts.RequestResult.LATE,
                ExperimentCounts.RequestResult.REJECTED,
                ExperimentCounts.RequestResult.OTHER);
        for (int i = 0; i < 12; i++) {
            counts.attemptEnded(
                    counts.requestArrived("caller-" + i, Optional.of("op" + i), false), results.get(i % 4), 1.5);
        }
        fixture.assertMatches("tally", counts.encode());
        ExperimentCounts decoded =
                ExperimentCounts.decode(experiment, fixture.bytes("tally")).orElseThrow();
        assertEquals(counts.totals(0), decoded.totals(0));
        assertEquals(counts.totals(1), decoded.totals(1));
        assertArrayEquals(fixture.bytes("tally"), decoded.encode());
    }

    @Test
    void results() {
        Map<String, Kind> kinds = Map.of(
                "goes-on",
                Kind.CONTINUE,
                "winner",
                Kind.WINNER,
                "harm",
                Kind.HARM,
                "futile",
                Kind.FUTILE,
                "time",
                Kind.TIME_LIMIT,
                "void",
                Kind.INVALID);
        assertEquals(Kind.values().length, kinds.size());
        kinds.forEach((name, kind) -> {
            ExperimentResult result = new ExperimentResult(kind, 1, "b is better");
            fixture.assertMatches("end." + name, result.encode());
            assertEquals(result, ExperimentResult.decode(experiment, fixture.bytes("end." + name)));
        });
    }

    @Test
    void leaseRequestsAndGrants() {
        ReplicatedStore store = new ReplicatedStore(
                Duration.ZERO,
                "b1",
                5,
                ReplicatedStore.PersistedEntries.NONE,
                ReplicatedStore.ReplicationSettings.defaults(false),
                List::of,
                new SplittableRandom(1),
                line -> {});
        Duration now = Duration.ofSeconds(1);
        SplitLease lease = new SplitLease(store, "b1", experiment);
        lease.request(now);
        lease.grant(now, 9);
        for (String topic : List.of("trial-q/t", "trial-go/t")) {
            fixture.assertMatches(topic, store.get("b1", topic).orElseThrow().value());
        }
        lease.readGrants(new Leadership.Leader("b1", 9));
        assertEquals(now.plus(experiment.leaseDuration()), lease.expiry());
        assertEquals("trial/t", experiment.topic());
    }
}
