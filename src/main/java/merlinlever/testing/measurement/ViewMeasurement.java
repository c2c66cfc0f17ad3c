package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.testing.faults.ViewModel;

/** The measurements of docs/measurements/view: the model's virtual time, views beside membership alone in the same run. */
public final class ViewMeasurement {

    private static final long MOST = 180_000;

    private final Path out;
    private final boolean quick;

    public ViewMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    public void run() throws IOException {
        Files.createDirectories(out);
        StringBuilder page = new StringBuilder(
                        "# Measurements: who is there\n\nMade by `java -jar target/merlinlever.jar measure view --out docs/measurements/view")
                .append(quick ? " --quick" : "")
                .append(
                        "`. All of it is simulated, in virtual time: the real memberships, terms and views on a network and clocks "
                                + "of the model's own (steps of 50 ms; a datagram takes 1 to 30 ms, one in fifty up to 500; one in fifty comes twice), five voters at the "
                                + "most. \"members\" is membership alone, as it was before, under the same seed and faults. Octets are of the datagrams' contents, without "
                                + "the heads of UDP and IP. -1: not within ")
                .append(MOST / 1000)
                .append(" s.\n\n");
        page.append(until().write(out, "s", List.of(0), List.of(1, 2, 3, 4, 5, 6), false));
        page.append(changes().write(out, "changes of the membership", List.of(0), List.of(2), false));
        page.append(wrong().write(out, "wrong deaths an hour", List.of(0, 1), List.of(2, 3), false));
        Files.writeString(out.resolve("README.md"), page);
    }

    private static ViewModel fleet(int n, long seed, boolean alone) {
        ViewModel model = new ViewModel(seed, n, Math.min(5, n), alone);
        model.startAll();
        if (alone) {
            untilBelieved(model, MOST);
        } else {
            model.untilAgreed(MOST);
        }
        model.run(5000);
        return model;
    }

    /** Whether every running membership holds just those alive that run. */
    private static boolean believed(ViewModel model) {
        TreeSet<String> running = model.running();
        for (int i = 0; i < model.n; i++) {
            if (!model.runs(i)) {
                continue;
            }
            MemberTable views = model.nodes[i].members.memberTable();
            for (int k = 0; k < model.n; k++) {
                MemberRecord known = views.find(ViewModel.name(k)).orElse(null);
                boolean here = known != null && known.status().compareTo(MemberStatus.DEAD) < 0;
                if (here != running.contains(ViewModel.name(k))) {
                    return false;
                }
            }
        }
        return true;
    }

    private static long untilBelieved(ViewModel model, long most) {
        for (long began = model.now; model.now - began < most; ) {
            if (believed(model)) {
                return model.now - began;
            }
            model.run(2 * ViewModel.STEP);
        }
        return -1;
    }

    private static long until(ViewModel model, boolean alone) {
        return alone ? untilBelieved(model, MOST) : model.untilAgreed(MOST);
    }

    private static double seconds(long ms) {
        return ms < 0 ? -1 : ms / 1000.0;
    }

    /** Times until all agree, and what it costs while nothing happens. */
    private ResultTable until() {
        ResultTable table = new ResultTable(
                "until",
                "Virtual time: seconds until all that run agree, and octets a second and backend at rest",
                "backends",
                "death, views",
                "death, members",
                "join, views",
                "join, members",
                "heal, views",
                "heal, members",
                "octets, views and members",
                "octets, members");
        for (int n : quick ? new int[] {5, 20} : new int[] {5, 20, 50, 200, 1000}) {
            double[][] took = new double[2][4];
            for (int alone = 0; alone < 2; alone++) {
                ViewModel model = fleet(n, n, alone == 1);
                long began = model.now;
                model.octets = 0;
                model.run(10_000);
                took[alone][3] = model.octets * 1000.0 / (model.now - began) / n;
                model.kill(n - 1);
                took[alone][0] = seconds(until(model, alone == 1));
                model.run(5000);
                model.start(n - 1);
                took[alone][1] = seconds(until(model, alone == 1));
                model.run(5000);
                int[] side = new int[n];
                for (int i = 0; i < n; i++) {
                    side[i] = i % 5 >= 3 ? 1 : 0;
                }
                model.sides(side);
                model.run(n > 200 ? 30_000 : 60_000);
                model.heal();
                took[alone][2] = seconds(until(model, alone == 1));
            }
            table.row(
                    n, took[0][0], took[1][0], took[0][1], took[1][1], took[0][2], took[1][2], took[0][3], took[1][3]);
        }
        return table;
    }

    /** Each fault on 20 backends; one change is the goal, and one more for what comes back. */
    private ResultTable changes() {
        int n = quick ? 7 : 20;
        ResultTable table = new ResultTable(
                "changes",
                "Virtual time: changes of the membership for each fault, " + n + " backends, 60 s each",
                "fault",
                "until all agree at the end, s",
                "changes");
        List<String> faults = List.of(
                "death",
                "death of who leads",
                "three deaths at once",
                "join",
                "join of ten in 2 s",
                "partition 3:2",
                "heal",
                "one-way link",
                "one mute to all",
                "pause of 3 s",
                "pause of 30 s and back",
                "flap each second",
                "quick restart",
                "all links 1.5 s",
                "loss of 20 %");
        for (String fault : faults) {
            ViewModel model = fleet(n, 7, false);
            if (fault.equals("heal") || fault.startsWith("join")) {
                if (fault.equals("heal")) {
                    part(model);
                } else {
                    for (int i = n - (fault.equals("join") ? 1 : n / 2); i < n; i++) {
                        model.kill(i);
                    }
                }
                model.run(30_000);
            }
            long since = model.highest();
            play(model, fault, n);
            model.run(60_000);
            boolean parted = fault.startsWith("partition") || fault.startsWith("one mute");
            double took = parted ? 0 : seconds(model.untilAgreed(MOST));
            table.row(fault, took, model.changesSince(since));
        }
        return table;
    }

    private static void part(ViewModel model) {
        int[] side = new int[model.n];
        for (int i = 0; i < model.n; i++) {
            side[i] = i % 5 >= 3 ? 1 : 0;
        }
        model.sides(side);
    }

    private static void play(ViewModel model, String fault, int n) {
        switch (fault) {
            case "death" -> model.kill(n - 1);
            case "death of who leads" -> model.kill(model.leader());
            case "three deaths at once" -> {
                for (int i = n - 3; i < n; i++) {
                    model.kill(i);
                }
            }
            case "join" -> model.start(n - 1);
            case "join of ten in 2 s" -> {
                for (int i = n - n / 2; i < n; i++) {
                    model.start(i);
                    model.run(200);
                }
            }
            case "partition 3:2" -> part(model);
            case "heal" -> model.heal();
            case "one-way link" -> model.cut(1, n - 1, true);
            case "one mute to all" -> {
                for (int i = 0; i < n - 1; i++) {
                    model.cut(n - 1, i, true);
                }
            }
            case "pause of 3 s" -> model.pause(n - 1, 3000, false);
            case "pause of 30 s and back" -> model.pause(n - 1, 30_000, false);
            case "flap each second" -> {
                for (int i = 0; i < 30; i++) {
                    model.pause(n - 1, 1000, false);
                    model.run(2000);
                }
            }
            case "quick restart" -> {
                model.kill(n - 1);
                model.run(1500);
                model.start(n - 1);
            }
            case "all links 1.5 s" -> model.slow = 1500;
            default -> model.loss = 0.2;
        }
    }

    /** All live, under loss and short pauses. */
    private ResultTable wrong() {
        int n = quick ? 5 : 10;
        long span = quick ? 120_000 : 600_000;
        ResultTable table = new ResultTable(
                "wrong",
                "Virtual time: live ones held dead, for an hour, " + n + " backends, " + span / 60_000
                        + " minutes each",
                "loss, %",
                "pauses",
                "wrong deaths an hour, views",
                "wrong deaths an hour, members");
        for (int loss : new int[] {0, 10, 20, 30}) {
            for (boolean pauses : new boolean[] {false, true}) {
                double[] found = new double[2];
                for (int alone = 0; alone < 2; alone++) {
                    ViewModel model = fleet(n, 100 + loss, alone == 1);
                    model.loss = loss / 100.0;
                    long until = model.now + span;
                    long wrong = 0;
                    TreeSet<String> dead = new TreeSet<>();
                    int turn = 0;
                    while (model.now < until) {
                        if (pauses && ++turn % 20 == 0) {
                            // Each 20 s one of them stands still for 3 s.
                            model.pause(turn / 20 % n, 3000, false);
                        }
                        model.run(1000);
                        wrong += newlyDead(model, alone == 1, dead);
                    }
                    found[alone] = wrong * 3_600_000.0 / span;
                }
                table.row(loss, pauses ? "3 s each 20 s" : "none", found[0], found[1]);
            }
        }
        return table;
    }

    /** Live ones that somebody holds dead and nobody did before. */
    private static int newlyDead(ViewModel model, boolean alone, TreeSet<String> dead) {
        TreeSet<String> now = new TreeSet<>();
        for (int i = 0; i < model.n; i++) {
            for (int k = 0; k < model.n; k++) {
                String name = ViewModel.name(k);
                if (alone) {
                    MemberRecord known =
                            model.nodes[i].members.memberTable().find(name).orElse(null);
                    if (known != null && known.status() == MemberStatus.DEAD) {
                        now.add(name);
                    }
                } else if (!model.nodes[i].sight.view().members().contains(name)) {
                    now.add(name);
                }
            }
        }
        int fresh = 0;
        for (String name : now) {
            fresh += dead.contains(name) ? 0 : 1;
        }
        dead.clear();
        dead.addAll(now);
        return fresh;
    }
}
