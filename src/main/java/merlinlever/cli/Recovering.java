package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.budgets.Budget;
import merlinlever.budgets.Sharing;
import merlinlever.budgets.net.Budgets;
import merlinlever.core.Backend;
import merlinlever.core.Stated;
import merlinlever.durable.Folders;
import merlinlever.log.Log;
import merlinlever.members.Link;
import merlinlever.net.Loop;
import merlinlever.policy.Control;
import merlinlever.recovery.Return;
import merlinlever.recovery.net.Rejoin;

/**
 * The return of one backend, where its configuration has {@code recovery}: state on disk, membership with the others.
 * The platform has neither, and there this class is never loaded.
 */
final class Recovering implements Rejoin.Service, Sharing.Spender {

    private static final List<String> NAMES = List.of("state", "listen", "advertise", "seeds", "secret-file", "mark-ms", "patience-ms",
            "spread-ms", "voters");

    private final Loop loop;
    private final Backend backend;
    private final Rejoin rejoin;
    /** Null where no limit is shared with the others. */
    private final Budgets budgets;

    Recovering(Map<String, String> rest, Loop loop, Backend backend, Map<String, String> given, long seed, Log log)
            throws Serve.Unusable, IOException {
        this.loop = loop;
        this.backend = backend;
        for (String name : rest.keySet()) {
            if (name.startsWith("recovery.") && !NAMES.contains(name.substring(9))) {
                throw new Serve.Unusable("the configuration's " + name + " is not known; recovery has " + String.join(", ", NAMES));
            }
        }
        List<String> seeds = new ArrayList<>();
        for (String seedAt : rest.getOrDefault("recovery.seeds", "").split(",")) {
            if (!seedAt.isEmpty() && Link.address(seedAt) == null) {
                throw new Serve.Unusable("the configuration's recovery.seeds has '" + seedAt + "', which is no ADDRESS:PORT");
            } else if (!seedAt.isEmpty()) {
                seeds.add(seedAt);
            }
        }
        String advertise = rest.get("recovery.advertise");
        if (advertise != null && Link.address(advertise) == null) {
            throw new Serve.Unusable("the configuration's recovery.advertise is no ADDRESS:PORT: " + advertise);
        }
        String name = rest.getOrDefault("name", "");
        if (!name.matches("[!-~]{1,40}")) {
            throw new Serve.Unusable("with recovery the configuration's name has 1 to 40 printable characters");
        }
        Return.Stated usual = Return.Stated.usual(window(given));
        Return.Stated stated = new Return.Stated(span(rest, "patience-ms", usual.patience()), span(rest, "spread-ms", usual.spread()),
                usual.askAgain(), usual.longestAskAgain(), usual.window(), usual.mostAsked());
        Duration mark = span(rest, "mark-ms", Duration.ofSeconds(1));
        Consumer<String> told = line -> log.info("recovery: " + line);
        rejoin = new Rejoin(loop, Folders.open(Path.of(rest.get("recovery.state")), System.getenv()),
                new Rejoin.Place(name, Serve.address(rest, "recovery.listen"), advertise, rest.getOrDefault("listen", "-"), seeds, secret(rest)),
                stated, mark, seed, System::currentTimeMillis, this, told);
        List<Budget> shared = budgets(rest);
        if (shared.isEmpty()) {
            budgets = null;
            return;
        }
        List<String> voters = List.of(rest.getOrDefault("recovery.voters", "").split(","));
        if (voters.contains("")) {
            throw new Serve.Unusable("with budgets the configuration's recovery.voters names who may divide them, the same everywhere");
        }
        // Who this life is: no other of this backend began in the same millisecond with the same pid.
        long life = System.currentTimeMillis() << 20 ^ ProcessHandle.current().pid();
        budgets = new Budgets(loop, rejoin, shared, voters, life, seed, this, told);
    }

    /** In which a repeat of keyed work may come, the longest of all tariffs. */
    private static Duration window(Map<String, String> given) {
        double longest = 0;
        for (int i = 0; given.containsKey("tariffs." + i + ".name"); i++) {
            if (!"retriable".equals(given.get("tariffs." + i + ".kind"))) {
                longest = Math.max(longest, Stated.number(given, "tariffs." + i + ".window", 10_000));
            }
        }
        return Duration.ofNanos((long) (longest * 1e6));
    }

    private static Duration span(Map<String, String> rest, String name, Duration usual) throws Serve.Unusable {
        double ms = Serve.number(rest, "recovery." + name, usual.toMillis());
        if (!(ms >= 10 && ms <= 600_000)) {
            throw new Serve.Unusable("the configuration's recovery." + name + " is to be from 10 to 600000");
        }
        return Duration.ofMillis((long) ms);
    }

    private static String secret(Map<String, String> rest) throws Serve.Unusable {
        String file = rest.get("recovery.secret-file");
        try {
            String secret = file == null ? "" : Files.readString(Path.of(file)).strip();
            if (secret.length() < 16) {
                throw new Serve.Unusable("the configuration's recovery.secret-file names no file with 16 characters or more");
            }
            return secret;
        } catch (IOException e) {
            throw new Serve.Unusable("the configuration's recovery.secret-file cannot be read: " + file);
        }
    }

    /** The limits of the whole fleet, as the configuration has them; checked here, as serve loads no schema. */
    private List<Budget> budgets(Map<String, String> rest) throws Serve.Unusable {
        List<Budget> budgets = new ArrayList<>();
        for (int i = 0; rest.containsKey("budgets." + i + ".name"); i++) {
            String at = "budgets." + i + ".";
            String name = rest.get(at + "name");
            String per = rest.getOrDefault(at + "per", "");
            double whole = Serve.number(rest, at + "whole", -1);
            double drift = Serve.number(rest, at + "drift", 0.01);
            Map<String, Integer> weights = new TreeMap<>();
            for (Map.Entry<String, String> entry : rest.entrySet()) {
                if (entry.getKey().startsWith(at + "weights.")) {
                    int weight = entry.getValue().matches("[1-9][0-9]{0,3}") ? Integer.parseInt(entry.getValue()) : 0;
                    if (weight == 0) {
                        throw new Serve.Unusable("the configuration's " + entry.getKey() + " is to be from 1 to 9999");
                    }
                    weights.put(entry.getKey().substring((at + "weights.").length()), weight);
                }
            }
            String of = rest.getOrDefault(at + "of", "calls");
            if (!name.matches("[a-z0-9-]{1,20}")) {
                throw new Serve.Unusable("the configuration's " + at + "name has 1 to 20 of a-z, 0-9 and -, not " + name);
            } else if (!per.equals("second") && !per.equals("at-once")) {
                throw new Serve.Unusable("the configuration's " + at + "per is second or at-once, not '" + per + "'");
            } else if (!(whole >= 0 && whole <= 1e9) || whole != Math.rint(whole)) {
                throw new Serve.Unusable("the configuration's " + at + "whole is to be a whole number from 0 to 1000000000");
            } else if (!(drift >= 0 && drift <= 0.2)) {
                throw new Serve.Unusable("the configuration's " + at + "drift is to be from 0 to 0.2");
            } else if (!of.equals("calls") && backend.tariff(of) < 0) {
                throw new Serve.Unusable("the configuration's " + at + "of is calls or a tariff, not " + of);
            }
            budgets.add(new Budget(name, of, (long) whole, per.equals("second") ? Budget.Per.SECOND : Budget.Per.AT_ONCE, text(rest, at + "lease", "2s"),
                    drift, text(rest, at + "longest", "5s"), weights));
        }
        return budgets;
    }

    private static Duration text(Map<String, String> rest, String name, String usual) throws Serve.Unusable {
        String text = rest.getOrDefault(name, usual);
        if (!text.matches("[0-9]{1,6}(ms|s)")) {
            throw new Serve.Unusable("the configuration's " + name + " is a span such as 500ms or 2s, not '" + text + "'");
        }
        Duration span = text.endsWith("ms") ? Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - 2)))
                : Duration.ofSeconds(Long.parseLong(text.substring(0, text.length() - 1)));
        if (span.compareTo(Duration.ofMillis(200)) < 0 || span.compareTo(Duration.ofMinutes(10)) > 0) {
            throw new Serve.Unusable("the configuration's " + name + " is to be from 200ms to 600s");
        }
        return span;
    }

    /** The configuration was read again: the wholes are taken from it, all else stays as it was at the start. */
    void reread(Map<String, String> rest) throws Serve.Unusable {
        if (budgets != null) {
            budgets.wholes(budgets(rest));
        }
    }

    @Override public long[] demand(Duration now, Budget budget) {
        return backend.demand(ofModule(now), backend.tariff(budget.of()));
    }

    @Override public void share(Budget budget, long share, Duration until) {
        backend.share(backend.tariff(budget.of()), share, budget.per() == Budget.Per.SECOND, ofModule(until),
                budget.of().equals("calls") && budget.per() == Budget.Per.AT_ONCE ? budget.longest() : null);
    }

    /** A time since the process began, by the clock that the module's times count on. */
    private Duration ofModule(Duration sinceBegin) {
        return loop.clock().now().plus(sinceBegin.minus(loop.clock().uptime()));
    }

    @Override public void keyed(Duration from, Duration to) {
        backend.keyed(ofModule(from), ofModule(to));
    }

    @Override public void guess(double capacity, double completions) {
        backend.guess(capacity, completions);
    }

    @Override public double capacity() {
        Control.Figures figures = backend.figures();
        return figures == null || !Double.isFinite(figures.capacity()) ? 0 : figures.capacity();
    }

    @Override public boolean fullSpeed() {
        Control.Figures figures = backend.figures();
        return figures != null && figures.speedShare() >= 1;
    }

    String json() {
        String budgeted = budgets == null ? null : budgets.json();
        String json = rejoin.json();
        return budgeted == null ? json : json.substring(0, json.length() - 1) + ",\"budgets\":" + budgeted + "}";
    }

    void leave() {
        rejoin.leave();
    }
}
