package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteMerger;
import merlinlever.fleet.routes.RoutingPolicy;
import merlinlever.testing.faults.RoutesModel;

/** What routes cost and bring: the merge against a plain rebuild, and in virtual time tightening and the loss of a records service. */
public final class RoutesMeasurement {

    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final int PARTNERS = 10;

    private final Path out;
    private final boolean quick;

    public RoutesMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    public void run() throws IOException {
        Files.createDirectories(out);
        StringBuilder page = new StringBuilder(
                        "# Measurements: routes of partner sites\n\nMade by `java -jar target/merlinlever.jar measure routes --out docs/measurements/routes")
                .append(quick ? " --quick" : "")
                .append(
                        "`. Times are of one run on one machine that other work shares; compare within a row. The second and third table are "
                                + "simulated: the modules on a network and clocks of the model's own (1 to 30 ms a word, one in fifty up to 4 s, one in twenty doubled), five backends a site, "
                                + "leases of ")
                .append(LEASE.toSeconds())
                .append(" s.\n\n");
        page.append(merging().write(out, "ms", List.of(0), List.of(1, 2, 3), true));
        page.append(tightening().write(out, "ms", List.of(0), List.of(1, 2, 3), false));
        page.append(served().write(out, "share of 200 calls", List.of(0), List.of(1, 2, 3), false));
        Files.writeString(out.resolve("README.md"), page);
    }

    private static List<Route> routes(int partner, int count, int cost) {
        List<Route> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            // One in three of a key that others have as well.
            all.add(new Route(
                    "t" + (i % 3 == 0 ? i : partner * 100_000 + i),
                    "records",
                    "10.0." + partner + ".1:7000",
                    10 + i % 90,
                    i % 7 + (i == count / 2 ? cost : 0),
                    false,
                    List.of("p" + partner),
                    null,
                    Restrictions.NONE));
        }
        return all;
    }

    private static merlinlever.fleet.routes.RouteTable table(int partner, long sequence, List<Route> all) {
        return merlinlever.fleet.routes.RouteTable.of("p" + partner, 1, sequence, Relation.PEER, LEASE, all);
    }

    private static double middle(double[] all) {
        Arrays.sort(all);
        return all[all.length / 2];
    }

    /** Milliseconds of the middle of some runs. */
    private double timed(int runs, Runnable what) {
        double[] took = new double[runs];
        for (int i = 0; i < runs; i++) {
            long began = System.nanoTime();
            what.run();
            took[i] = (System.nanoTime() - began) / 1e6;
        }
        return middle(took);
    }

    private ResultTable merging() {
        ResultTable table = new ResultTable(
                "merge",
                "Merging, ms (middle of the runs)",
                "routes in all",
                "all tables merged",
                "one route of one changed: merged in",
                "the same by a plain rebuild",
                "rebuild to change",
                "all routes of one partner withdrawn");
        for (int all : quick ? new int[] {10, 1000} : new int[] {10, 100, 1000, 10_000, 100_000}) {
            int each = all / PARTNERS;
            List<merlinlever.fleet.routes.RouteTable> tables = new ArrayList<>();
            for (int partner = 0; partner < PARTNERS; partner++) {
                tables.add(table(partner, 1, routes(partner, each, 0)));
            }
            merlinlever.fleet.routes.RouteTable one = table(3, 2, routes(3, each, 1)),
                    other = table(3, 3, routes(3, each, 2)),
                    none = table(3, 4, List.of());
            int runs = all >= 100_000 ? 15 : 51;
            RouteMerger lived = new RouteMerger(new RoutingPolicy("me"));
            Runnable rebuild = () -> {
                RouteMerger fresh = new RouteMerger(new RoutingPolicy("me"));
                tables.forEach(its -> fresh.replaceTable(its.site(), Relation.PEER, its, RouteMerger.NO_LISTENER));
            };
            timed(runs, rebuild);
            double whole = timed(runs, rebuild);
            tables.forEach(its -> lived.replaceTable(its.site(), Relation.PEER, its, RouteMerger.NO_LISTENER));
            boolean[] turn = new boolean[1];
            Runnable change = () -> {
                turn[0] ^= true;
                lived.replaceTable("p3", Relation.PEER, turn[0] ? one : other, RouteMerger.NO_LISTENER);
            };
            timed(runs, change);
            double changed = timed(runs, change);
            tables.set(3, one);
            double rebuilt = timed(runs, rebuild);
            double[] withdrawn = new double[9];
            for (int i = 0; i < withdrawn.length; i++) {
                lived.replaceTable("p3", Relation.PEER, one, RouteMerger.NO_LISTENER);
                withdrawn[i] = timed(1, () -> lived.replaceTable("p3", Relation.PEER, none, RouteMerger.NO_LISTENER));
            }
            table.row(all, whole, changed, rebuilt, rebuilt / changed, middle(withdrawn));
        }
        return table;
    }

    /** a and c are customers of b, which is a peer of d. */
    private static RoutesModel model(long seed) {
        return new RoutesModel(
                seed,
                5,
                LEASE,
                List.of("a", "b", "c", "d"),
                Map.of("b a", Relation.CUSTOMER, "b c", Relation.CUSTOMER, "b d", Relation.PEER));
    }

    private ResultTable tightening() {
        ResultTable table = new ResultTable(
                "tightening",
                "Simulated: ms from a withdrawal by a to the last call along its routes, over seeds",
                "links",
                "the middle",
                "the longest",
                "stated: a lease for each step of the way",
                "breaches");
        for (String what :
                List.of("all well", "b cut off from a", "two of b cut off from all", "half of all words lost")) {
            double[] took = new double[quick ? 2 : 10];
            int breaches = 0;
            for (int seed = 0; seed < took.length; seed++) {
                RoutesModel model = model(seed);
                model.run(10_000, 1);
                model.sites.forEach(site -> site.serviceUp = site.name().equals("a"));
                model.run(3000, 4);
                if (what.startsWith("b ")) {
                    model.cut("a", "b");
                } else if (what.startsWith("two")) {
                    model.site("b").nodes.get(1).side = 1;
                    model.site("b").nodes.get(3).side = 1;
                    model.cut.add("b1 a");
                } else if (what.startsWith("half")) {
                    model.loss = 0.5;
                }
                // Calls are still to get there: what is cut is the word of a, as the auditor counts calls where they
                // are sent.
                model.site("a").restrict(null);
                long began = model.now;
                model.run(4 * LEASE.toMillis(), 4);
                took[seed] = Math.max(0, model.audit.lastCallMs("a") - began);
                breaches += model.audit.violations().size();
            }
            double longest = Arrays.stream(took).max().orElse(0);
            table.row(what, middle(took), longest, 2.0 * LEASE.toMillis(), breaches);
        }
        return table;
    }

    private ResultTable served() {
        ResultTable table = new ResultTable(
                "served",
                "Simulated: 200 calls of one site, its records service lost at a quarter of them",
                "partners",
                "with routes",
                "without",
                "at best",
                "breaches");
        for (String what : List.of("as they are", "a tenth of words lost", "reads only", "room for some")) {
            double[] share = new double[2];
            int seeds = quick ? 2 : 10, breaches = 0;
            for (int seed = 0; seed < seeds; seed++) {
                for (int without = 0; without < 2; without++) {
                    RoutesModel model = model(seed);
                    model.loss = what.startsWith("a tenth") ? 0.1 : 0;
                    if (what.startsWith("reads")) {
                        model.sites.forEach(site ->
                                site.restrict(new Restrictions(null, new TreeSet<>(), false, 16, true, false, false)));
                    }
                    model.sites.forEach(site -> site.calls = what.startsWith("room") ? 16 : 200);
                    model.run(10_000, 0);
                    model.without = without == 1;
                    for (int i = 0; i < 200; i++) {
                        int at = i;
                        model.later(
                                i * 5L, () -> model.site("b").nodes.get(at % 5).operation());
                    }
                    model.later(250, () -> model.site("b").serviceUp = false);
                    model.run(8000, 0);
                    share[without] += model.site("b").served / 200.0 / seeds;
                    breaches += model.audit.violations().size();
                }
            }
            // Half of the calls are orders; three partners of 16 calls a second for each of two tariffs take 96 within
            // the second.
            double best = what.startsWith("reads") ? 0.25 + 0.75 / 2 : what.startsWith("room") ? 0.25 + 0.48 : 1;
            table.row(what, share[0], share[1], best, breaches);
        }
        return table;
    }
}
