package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.testing.faults.ReplicationModel;

/** The measurements of docs/measurements/shared: words on the model's virtual time, against pushing everything each period. */
public final class ReplicationMeasurement {

    private static final Duration PERIOD = Duration.ofMillis(200);
    private static final int VALUE = 300;
    /** What a word costs beside its value, in either. */
    private static final int HEAD = 30;

    private final Path out;
    private final boolean quick;

    public ReplicationMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    /** What some new words came to. */
    private record SpreadResult(double middle, double most, double octets) {}

    public void run() throws IOException {
        Files.createDirectories(out);
        ResultTable spread = new ResultTable(
                "spread",
                "Simulated: periods until all have a new word",
                "backends",
                "lost datagrams",
                "words: median",
                "words: most",
                "all pushed: median",
                "all pushed: most");
        ResultTable octets = new ResultTable(
                "octets",
                "Simulated: octets a second told by each backend",
                "backends",
                "changes a second and backend",
                "words",
                "all pushed",
                "ratio");
        for (int n : quick ? new int[] {5, 50} : new int[] {5, 50, 500}) {
            for (double loss : new double[] {0, 0.2, 0.4}) {
                SpreadResult words = words(n, loss, 0, quick ? 3 : n > 100 ? 7 : 21);
                SpreadResult pushed = pushed(n, loss, quick ? 3 : n > 100 ? 7 : 21);
                spread.row(n, loss, words.middle, words.most, pushed.middle, pushed.most);
            }
            for (double changes : n > 100 ? new double[] {0, 0.02} : new double[] {0, 0.02, 1}) {
                SpreadResult words = words(n, 0, changes, 1);
                double pushed = 3.0 * n * (VALUE + HEAD) * 1000 / PERIOD.toMillis();
                octets.row(n, changes, words.octets, pushed, words.octets / pushed);
            }
        }
        StringBuilder page = new StringBuilder(
                        "# Measurements: what the fleet shares\n\nMade by `java -jar target/merlinlever.jar measure shared --out docs/measurements/shared")
                .append(quick ? " --quick" : "")
                .append("`. All simulated: virtual time, datagrams of 1 to 40 ms, periods of ")
                .append(PERIOD.toMillis())
                .append(" ms that begin at drawn times, each backend with one word of ")
                .append(VALUE)
                .append(
                        " octets, told to three others in each of two periods. *All pushed*, the baseline in the same run: each "
                                + "backend tells three drawn others all that it holds, each period. Times are in periods; octets are those of the letters, without the datagrams' own.\n\n");
        page.append(spread.write(out, "periods", List.of(0, 1), List.of(2, 4), false));
        page.append(octets.write(out, "octets a second", List.of(0, 1), List.of(2, 3), false));
        Files.writeString(out.resolve("README.md"), page);
    }

    private SpreadResult words(int n, double loss, double changes, int tries) {
        ReplicationModel model = new ReplicationModel(
                n, n, new ReplicatedStore.ReplicationSettings(PERIOD, 3, Duration.ofHours(24), 2 << 20, false));
        model.latePerTenThousand = 0;
        byte[] value = new byte[VALUE];
        for (int i = 0; i < n; i++) {
            model.replicas[i].put(model.clock(i), "count", value);
        }
        model.run(quick || n > 100 ? 4000 : 8000);
        SplittableRandom chance = new SplittableRandom(n);
        if (changes > 0 || tries == 1) {
            model.sentBytes = 0;
            long began = model.nowMs;
            while (model.nowMs - began < (n > 100 ? 5000 : 20_000)) {
                for (int i = 0; i < n; i++) {
                    if (chance.nextDouble() < changes * 0.02) {
                        model.replicas[i].put(model.clock(i), "count", value);
                    }
                }
                model.step();
            }
            return new SpreadResult(0, 0, model.sentBytes * 1000.0 / (model.nowMs - began) / n);
        }
        model.lossRate = loss;
        List<Double> took = new ArrayList<>();
        for (int k = 0; k < tries; k++) {
            String topic = "new" + k;
            int who = chance.nextInt(n);
            model.replicas[who].put(model.clock(who), topic, value);
            long began = model.nowMs;
            BitSet without = new BitSet();
            without.set(0, n);
            while (!without.isEmpty() && model.nowMs - began < 60_000) {
                model.step();
                for (int i = without.nextSetBit(0); i >= 0; i = without.nextSetBit(i + 1)) {
                    if (model.replicas[i].get(ReplicationModel.name(who), topic).isPresent()) {
                        without.clear(i);
                    }
                }
            }
            took.add((model.nowMs - began) / (double) PERIOD.toMillis());
        }
        Collections.sort(took);
        return new SpreadResult(took.get(took.size() / 2), took.get(took.size() - 1), 0);
    }

    /** Each that has it tells three drawn others each period; each backend's period begins at a drawn time, and a datagram takes a tenth of one. */
    private static SpreadResult pushed(int n, double loss, int tries) {
        SplittableRandom chance = new SplittableRandom(n);
        List<Double> took = new ArrayList<>();
        for (int k = 0; k < tries; k++) {
            int[] phase = chance.ints(n, 0, 10).toArray();
            int[] from = new int[n];
            java.util.Arrays.fill(from, Integer.MAX_VALUE);
            from[chance.nextInt(n)] = 0;
            int tick = 0;
            int have = 1;
            while (have < n) {
                tick++;
                for (int i = 0; i < n; i++) {
                    if (from[i] <= tick && tick % 10 == phase[i]) {
                        for (int c = 0; c < Math.min(3, n - 1); c++) {
                            int to = (i + 1 + chance.nextInt(n - 1)) % n;
                            if (chance.nextDouble() >= loss && from[to] == Integer.MAX_VALUE) {
                                from[to] = tick + 1;
                                have++;
                            }
                        }
                    }
                }
            }
            took.add((tick + 1) / 10.0);
        }
        Collections.sort(took);
        return new SpreadResult(took.get(took.size() / 2), took.get(took.size() - 1), 0);
    }
}
