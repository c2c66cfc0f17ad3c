package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.core.Backend;
import merlinlever.election.ElectionSettings;
import merlinlever.election.net.ElectionTransport;
import merlinlever.net.EventLoop;
import merlinlever.quota.FleetQuota;
import merlinlever.quota.QuotaCoordinator;
import merlinlever.quota.net.QuotaTransport;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.replication.ReplicatedStore;
import merlinlever.replication.net.ReplicationTransport;
import merlinlever.storage.StateDirectories;
import merlinlever.view.ActionPermissions;
import merlinlever.view.GuardedAction;
import merlinlever.view.ViewSettings;
import merlinlever.view.net.ViewTransport;

/**
 * What one backend decides and shares with the others of its fleet: who leads, who is there, what they know in common, limits of
 * the whole fleet. Only where its
 * configuration names {@code recovery.voters}; elsewhere this class is never loaded.
 */
final class FleetAssembly implements QuotaCoordinator.QuotaConsumer {

    private final EventLoop loop;
    private final Backend backend;
    private final ViewTransport viewing;
    private final ReplicationTransport spread;
    /** Null where no limit is shared with the others. */
    private final QuotaTransport budgets;

    FleetAssembly(
            Map<String, String> rest,
            EventLoop loop,
            RecoveryCoordinator rejoin,
            Backend backend,
            long seed,
            Consumer<String> told)
            throws ServeCommand.InvalidConfigurationException, IOException {
        this.loop = loop;
        this.backend = backend;
        List<FleetQuota> shared = budgets(rest);
        List<String> voters = List.of(rest.getOrDefault("recovery.voters", "").split(","));
        if (voters.contains("")) {
            throw new ServeCommand.InvalidConfigurationException(
                    "with budgets the configuration's recovery.voters names who may lead, the same everywhere");
        }
        // Who this life is: no other of this backend began in the same millisecond with the same pid.
        long life = System.currentTimeMillis() << 20 ^ ProcessHandle.current().pid();
        Duration lease = shared.isEmpty()
                ? text(rest, "recovery.lease", "2s")
                : shared.get(0).lease();
        double drift = shared.isEmpty() ? 0.01 : shared.get(0).drift();
        ElectionTransport leading =
                new ElectionTransport(loop, rejoin, new ElectionSettings(voters, lease, drift), seed, told);
        viewing = new ViewTransport(loop, rejoin, leading.election(), ViewSettings.defaults(), life, seed, told);
        spread = new ReplicationTransport(
                loop,
                rejoin,
                StateDirectories.open(Path.of(rest.get("recovery.state"), "shared"), System.getenv()),
                ReplicatedStore.ReplicationSettings.defaults(true),
                leading.election(),
                viewing.fleetView(),
                seed,
                told);
        budgets = shared.isEmpty()
                ? null
                : new QuotaTransport(loop, rejoin, shared, leading, viewing.fleetView(), life, seed, this, told);
    }

    /** The limits of the whole fleet, as the configuration has them; checked here, as serve loads no schema. */
    private List<FleetQuota> budgets(Map<String, String> rest) throws ServeCommand.InvalidConfigurationException {
        List<FleetQuota> budgets = new ArrayList<>();
        for (int i = 0; rest.containsKey("budgets." + i + ".name"); i++) {
            String at = "budgets." + i + ".";
            String name = rest.get(at + "name");
            String per = rest.getOrDefault(at + "per", "");
            double whole = ServeCommand.number(rest, at + "whole", -1);
            double drift = ServeCommand.number(rest, at + "drift", 0.01);
            Map<String, Integer> weights = new TreeMap<>();
            for (Map.Entry<String, String> entry : rest.entrySet()) {
                if (entry.getKey().startsWith(at + "weights.")) {
                    int weight = entry.getValue().matches("[1-9][0-9]{0,3}") ? Integer.parseInt(entry.getValue()) : 0;
                    if (weight == 0) {
                        throw new ServeCommand.InvalidConfigurationException(
                                "the configuration's " + entry.getKey() + " is to be from 1 to 9999");
                    }
                    weights.put(entry.getKey().substring((at + "weights.").length()), weight);
                }
            }
            String of = rest.getOrDefault(at + "of", "calls");
            if (!name.matches("[a-z0-9-]{1,20}")) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + at + "name has 1 to 20 of a-z, 0-9 and -, not " + name);
            } else if (!per.equals("second") && !per.equals("at-once")) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + at + "per is second or at-once, not '" + per + "'");
            } else if (!(whole >= 0 && whole <= 1e9) || whole != Math.rint(whole)) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + at + "whole is to be a whole number from 0 to 1000000000");
            } else if (!(drift >= 0 && drift <= 0.2)) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + at + "drift is to be from 0 to 0.2");
            } else if (!of.equals("calls") && backend.priorityClassIndex(of) < 0) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + at + "of is calls or a tariff, not " + of);
            }
            budgets.add(new FleetQuota(
                    name,
                    of,
                    (long) whole,
                    per.equals("second") ? FleetQuota.QuotaKind.SECOND : FleetQuota.QuotaKind.AT_ONCE,
                    text(rest, at + "lease", "2s"),
                    drift,
                    text(rest, at + "longest", "5s"),
                    weights));
        }
        return budgets;
    }

    private static Duration text(Map<String, String> rest, String name, String usual)
            throws ServeCommand.InvalidConfigurationException {
        String text = rest.getOrDefault(name, usual);
        if (!text.matches("[0-9]{1,6}(ms|s)")) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's " + name + " is a span such as 500ms or 2s, not '" + text + "'");
        }
        Duration span = text.endsWith("ms")
                ? Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - 2)))
                : Duration.ofSeconds(Long.parseLong(text.substring(0, text.length() - 1)));
        if (span.compareTo(Duration.ofMillis(200)) < 0 || span.compareTo(Duration.ofMinutes(10)) > 0) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's " + name + " is to be from 200ms to 600s");
        }
        return span;
    }

    /** Whether binding and fingerprinted work may be begun, as far as the others are concerned. */
    boolean mayKeyed() {
        return viewing.fleetView().permission(loop.clock().uptime(), GuardedAction.START_KEYED_REQUEST)
                == ActionPermissions.Permission.ALLOWED;
    }

    void reread(Map<String, String> rest) throws ServeCommand.InvalidConfigurationException {
        if (budgets != null) {
            budgets.wholes(budgets(rest));
        }
    }

    @Override
    public long[] demand(Duration now, FleetQuota budget) {
        return backend.quotaDemand(ofModule(now), backend.priorityClassIndex(budget.of()));
    }

    @Override
    public void share(FleetQuota budget, long share, Duration until) {
        backend.setQuota(
                backend.priorityClassIndex(budget.of()),
                share,
                budget.per() == FleetQuota.QuotaKind.SECOND,
                ofModule(until),
                budget.of().equals("calls") && budget.per() == FleetQuota.QuotaKind.AT_ONCE ? budget.longest() : null);
    }

    private Duration ofModule(Duration sinceBegin) {
        return RecoveryAssembly.ofModule(loop, sinceBegin);
    }

    /** Further members of the JSON object that tells how far this one has come. */
    String json() {
        return ",\"view\":" + viewing.json() + ",\"shared\":" + spread.statusJson()
                + (budgets == null ? "" : ",\"budgets\":" + budgets.json());
    }
}
