package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.testing.faults.AgentFleet;
import merlinlever.testing.faults.QuotaFaults;
import merlinlever.testing.faults.QuotaModel;
import merlinlever.testing.faults.ServeFleet;

/** The measurements of docs/measurements/budgets: on the model's virtual time, and on real processes under faults. */
public final class QuotaMeasurement {

    private static final Duration LEASE = Duration.ofSeconds(2);

    private final Path out;
    private final boolean quick;

    public QuotaMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    private static QuotaModel model(int n, long whole) {
        return new QuotaModel(
                n,
                n,
                new FleetQuota(
                        "calls",
                        "calls",
                        whole,
                        FleetQuota.QuotaKind.PER_SECOND,
                        LEASE,
                        0.01,
                        Duration.ofSeconds(1),
                        Map.of()));
    }

    private static void run(QuotaModel model, long ms) {
        long until = model.now + ms;
        while (model.now < until) {
            model.step();
        }
    }

    public void run() throws IOException, InterruptedException {
        Files.createDirectories(out);
        StringBuilder page = new StringBuilder(
                        "# Measurements: budgets of the whole fleet\n\nMade by `java -jar target/merlinlever.jar measure budgets --out docs/measurements/budgets")
                .append(quick ? " --quick" : "")
                .append(
                        "`. The first two tables are simulated: the dividing modules on a network and clocks of the model's own "
                                + "(1 to 40 ms a datagram, one in fifty up to 5 s, one in twenty doubled), leases of ")
                .append(LEASE.toSeconds())
                .append(" s. The third is of real processes on loopback, leases of 1 s.\n\n");
        page.append(used().write(out, "share of the whole", java.util.List.of(0, 1), java.util.List.of(2), false));
        page.append(again().write(out, "ms", java.util.List.of(0), java.util.List.of(1, 2, 3), false));
        page.append(faults().write(out, "ms", java.util.List.of(0, 1), java.util.List.of(4), false));
        Files.writeString(out.resolve("README.md"), page);
    }

    /** How much of the whole is held where so much of it is wanted, and what that costs. */
    private ResultTable used() {
        ResultTable table = new ResultTable(
                "used",
                "Simulated: the whole held against demand and fleet size",
                "backends",
                "wanted, of the whole",
                "held, of what can be",
                "octets a second and backend",
                "over the whole, at the most");
        for (int n : quick ? new int[] {3, 10} : new int[] {3, 10, 30, 100, 300, 1000}) {
            for (double demand : new double[] {0.5, 1, 2}) {
                long whole = 20L * n;
                QuotaModel model = model(n, whole);
                SplittableRandom chance = new SplittableRandom(n);
                for (int i = 0; i < n; i++) {
                    // From none to twice the mean.
                    model.wanted[i][0] = Math.round(demand * 40 * chance.nextDouble());
                }
                run(model, 20_000);
                model.used = model.usable = model.octets = 0;
                long began = model.now;
                run(model, n >= 300 ? 10_000 : 30_000);
                double can = Math.min(1, demand);
                table.row(
                        n,
                        demand,
                        model.used / (double) model.usable / can,
                        model.octets * 1000.0 / (model.now - began) / n,
                        Math.max(0, model.over));
            }
        }
        return table;
    }

    /** Until those that are there hold what they could, after one came, one was killed, and the one that divides was. */
    private ResultTable again() {
        ResultTable table = new ResultTable(
                "again",
                "Simulated: ms until nine tenths of the whole are held again (all want more than there is)",
                "backends",
                "after one joins: it has its share",
                "after a death",
                "after the death of the one that divides");
        for (int n : quick ? new int[] {3} : new int[] {3, 10, 30, 100}) {
            long[] took = new long[3];
            for (int what = 0; what < 3; what++) {
                QuotaModel model = model(n, 20L * n);
                for (int i = 0; i < n; i++) {
                    model.wanted[i][0] = 40;
                }
                int who = n - 1;
                if (what == 0) {
                    model.kill(who, 25_000);
                }
                run(model, 25_000);
                if (what > 0) {
                    model.kill(what == 1 ? who == model.leader() ? who - 1 : who : model.leader(), 1_000_000);
                }
                long began = model.now;
                run(model, 100);
                long held = 0;
                while (held < (what == 0 ? 15 : 18L * n) && model.now - began < 60_000) {
                    model.step();
                    held = 0;
                    for (int i = what == 0 ? who : 0; i < n; i++) {
                        held += model.share(i);
                    }
                }
                took[what] = model.now - began;
            }
            table.row(n, took[0], took[1], took[2]);
        }
        return table;
    }

    private ResultTable faults() throws IOException, InterruptedException {
        ResultTable table = new ResultTable(
                "faults",
                "Real processes: the most calls seen by the party, and the time to divide anew after each fault",
                "fault",
                "limit",
                "whole",
                "most seen so far",
                "divided anew after, ms",
                "breaches");
        for (boolean perSecond : new boolean[] {true, false}) {
            ServeFleet.SharedLimit whole = perSecond
                    ? new ServeFleet.SharedLimit(40, true, Duration.ofSeconds(1), Duration.ofMillis(20))
                    : new ServeFleet.SharedLimit(10, false, Duration.ofSeconds(1), Duration.ofMillis(300));
            Path folder = Files.createTempDirectory("merlinlever-measure");
            try (ServeFleet fleet = new ServeFleet(
                    folder,
                    new ServeFleet.ServeFleetSettings(quick ? 3 : 5, true, 12, Duration.ofMillis(500), whole),
                    AgentFleet.sameJava(),
                    27)) {
                QuotaFaults faults = new QuotaFaults(fleet, Duration.ofSeconds(60), line -> {});
                faults.begin();
                for (QuotaFaults.QuotaFaultKind kind : QuotaFaults.QuotaFaultKind.values()) {
                    QuotaFaults.QuotaFaultOutcome outcome = faults.play(kind, kind.ordinal());
                    long[] counts = new long[2];
                    fleet.on(none -> System.arraycopy(fleet.shares().counts(), 0, counts, 0, 2));
                    table.row(
                            kind.wireName(),
                            perSecond ? "a second" : "at once",
                            whole.whole(),
                            counts[0],
                            outcome.dividedAfter().toMillis(),
                            outcome.breaches().size());
                }
            } finally {
                TemporaryDirectories.remove(folder);
            }
        }
        return table;
    }
}
