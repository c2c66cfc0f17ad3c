package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.backend.Backend;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.common.storage.StateDirectories;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.net.ElectionTransport;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.quota.LeaseHolder;
import merlinlever.fleet.quota.QuotaConsumer;
import merlinlever.fleet.quota.QuotaCoordinator;
import merlinlever.fleet.quota.net.QuotaTransport;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.net.ReplicationTransport;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.GuardedAction;
import merlinlever.fleet.view.ViewSettings;
import merlinlever.fleet.view.net.ViewTransport;

/**
 * Assembles the fleet components of one backend: leader election, the fleet view, the replicated store and fleet
 * quotas. Loaded only if {@code recovery.voters} or quotas are configured. Runs on the event loop.
 */
final class FleetAssembly implements QuotaConsumer {

    private static final String DEFAULT_LEASE = "2s";
    private static final double DEFAULT_CLOCK_DRIFT = 0.01;
    private static final int INCARNATION_TIME_SHIFT = 20;

    private final EventLoop loop;
    private final Backend backend;
    private final ViewTransport view;
    private final ReplicationTransport replication;
    private final Optional<QuotaTransport> quotas;

    FleetAssembly(
            ConfigurationValues values,
            EventLoop loop,
            RecoveryCoordinator recovery,
            Backend backend,
            long seed,
            EventLog log)
            throws InvalidConfigurationException, IOException {
        this.loop = loop;
        this.backend = backend;
        List<FleetQuota> configuredQuotas = quotas(values);
        List<String> voters = List.of(values.text("recovery.voters", "").split(","));
        if (voters.contains("")) {
            throw new InvalidConfigurationException(
                    "with budgets the configuration's recovery.voters has to list the voters, the same on all backends");
        }
        // Unique for this process: no other process of this backend starts in the same millisecond with the same PID.
        long incarnation = System.currentTimeMillis() << INCARNATION_TIME_SHIFT
                ^ ProcessHandle.current().pid();
        Duration lease = configuredQuotas.isEmpty()
                ? FleetQuotaParser.duration(values, "recovery.lease", DEFAULT_LEASE)
                : configuredQuotas.get(0).leaseDuration();
        double clockDrift = configuredQuotas.isEmpty()
                ? DEFAULT_CLOCK_DRIFT
                : configuredQuotas.get(0).maxClockDrift();
        ElectionTransport election =
                new ElectionTransport(loop, recovery, new ElectionSettings(voters, lease, clockDrift), seed, log);
        view = new ViewTransport(loop, recovery, election.election(), ViewSettings.defaults(), incarnation, seed, log);
        replication = new ReplicationTransport(
                loop,
                recovery,
                StateDirectories.open(Path.of(values.text("recovery.state", ""), "shared"), System.getenv()),
                ReplicatedStore.ReplicationSettings.defaults(true),
                election.election(),
                view.fleetView(),
                seed,
                log);
        quotas = configuredQuotas.isEmpty()
                ? Optional.empty()
                : Optional.of(new QuotaTransport(
                        loop, recovery, coordinator(recovery, configuredQuotas, election, incarnation, seed, log)));
    }

    private QuotaCoordinator coordinator(
            RecoveryCoordinator recovery,
            List<FleetQuota> configuredQuotas,
            ElectionTransport election,
            long incarnation,
            long seed,
            EventLog log) {
        QuotaCoordinator coordinator = new QuotaCoordinator(
                loop.clock().uptime(),
                new LeaseHolder(recovery.membership().memberTable().self(), incarnation),
                configuredQuotas,
                election.election(),
                new SplittableRandom(seed),
                this,
                log);
        coordinator.setFleetView(view.fleetView());
        return coordinator;
    }

    private List<FleetQuota> quotas(ConfigurationValues values) throws InvalidConfigurationException {
        return FleetQuotaParser.parse(values, name -> backend.priorityClassIndex(name) >= 0);
    }

    /**
     * Returns whether the view permits starting requests that are not idempotent, including those with an idempotency
     * key.
     */
    boolean mayStartNonIdempotentRequests() {
        return view.fleetView().permission(loop.clock().uptime(), GuardedAction.START_NON_IDEMPOTENT_REQUEST)
                == ActionPermissions.Permission.ALLOWED;
    }

    /** Applies changed quota sizes; other changes require a restart. */
    void reload(ConfigurationValues values) throws InvalidConfigurationException {
        if (quotas.isPresent()) {
            quotas.get().updateQuotas(quotas(values));
        }
    }

    @Override
    public QuotaDemand demand(Duration now, FleetQuota quota) {
        return backend.quotaDemand(toControllerTime(now), backend.priorityClassIndex(quota.limitedResource()));
    }

    @Override
    public void setAllowance(FleetQuota quota, long amount, Duration until) {
        boolean limitsCallsInFlight =
                quota.limitedResource().equals("calls") && quota.kind() == FleetQuota.QuotaKind.CONCURRENT;
        QuotaGrant grant = new QuotaGrant(
                amount,
                quota.kind() == FleetQuota.QuotaKind.PER_SECOND,
                toControllerTime(until),
                limitsCallsInFlight ? Optional.of(quota.maxCallDuration()) : Optional.empty());
        backend.setQuota(backend.priorityClassIndex(quota.limitedResource()), grant);
    }

    private Duration toControllerTime(Duration sinceProcessStart) {
        return RecoveryAssembly.toControllerTime(loop, sinceProcessStart);
    }

    /** Returns further members for the JSON object of the status page, each with a leading comma. */
    String statusJsonMembers() {
        return ",\"view\":" + view.json() + ",\"shared\":" + replication.statusJson()
                + quotas.map(transport -> ",\"budgets\":" + transport.statusJson())
                        .orElse("");
    }
}
