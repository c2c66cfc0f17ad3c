package merlinlever.controller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.UnaryOperator;
import merlinlever.common.Durations;

/**
 * The settings of one controller. {@link SettingsParser} makes them from what operators configure; tests and servers
 * with fixed settings use the {@link #builder}. A builder starts from the defaults.
 *
 * @param server the machine
 * @param warmUp how it gets warm after its start
 * @param safety the safety rules
 * @param callers the callers
 * @param downstream the limit on calls, in force if the {@link #deployment} has a shared downstream service
 * @param deployment what the deployment is capable of
 * @param shadowDeployment the profile that shadow mode compares with the one in force; empty without shadow mode
 * @param priorityClasses by their index
 */
public record ControllerSettings(
        ServerSettings server,
        WarmUpSettings warmUp,
        SafetySettings safety,
        CallerSettings callers,
        DownstreamSettings downstream,
        DeploymentProfile deployment,
        Optional<DeploymentProfile> shadowDeployment,
        List<PriorityClassSettings> priorityClasses) {

    /** An unmodifiable copy of the priority classes is kept. */
    public ControllerSettings {
        priorityClasses = List.copyOf(priorityClasses);
    }

    /** A builder with every default and without a priority class. */
    public static Builder builder() {
        return new Builder();
    }

    /** A builder with the values of these settings. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Sets one value after the other; those that are not set have their defaults. */
    public static final class Builder {
        private final List<PriorityClassSettings> priorityClasses = new ArrayList<>();
        private DeploymentProfile deployment = DeploymentProfile.MINIMAL;
        private Optional<DeploymentProfile> shadowDeployment = Optional.empty();
        private int cores = (int) NumberSetting.CORES.defaultValue();
        private OptionalDouble memoryKb = OptionalDouble.empty();
        private double runMemoryFactor = NumberSetting.RUN_MEMORY_FACTOR.defaultValue();
        private double memoryPerKeyKb = NumberSetting.MEMORY_PER_KEY.defaultValue();
        private List<Gauge> gauges = List.of();
        private boolean cold;
        private double coldSpeed = NumberSetting.COLD_SPEED.defaultValue();
        private Duration warmUpTime = millis(NumberSetting.WARM_UP_TIME);
        private double overloadFactor = NumberSetting.OVERLOAD_FACTOR.defaultValue();
        private Duration drainGrace = millis(NumberSetting.DRAIN_GRACE);
        private Duration maxReadDelay = millis(NumberSetting.MAX_READ_DELAY);
        private double callers = NumberSetting.CALLERS.defaultValue();
        private Duration idleTimeout = millis(NumberSetting.IDLE_TIMEOUT);
        private Duration maxRetryAfter = Duration.ZERO;
        private Duration maxOutcomeAge = millis(NumberSetting.FRESH_FOR);
        private double shareOfCalls = NumberSetting.SHARE_OF_CALLS.defaultValue();
        private Duration callAveragingTime = millis(NumberSetting.CALL_AVERAGING_TIME);
        private Duration callLingerTime = millis(NumberSetting.CALL_LINGER_TIME);
        private double fleetSize = NumberSetting.FLEET_SIZE.defaultValue();

        private Builder() {}

        private Builder(ControllerSettings settings) {
            priorityClasses.addAll(settings.priorityClasses);
            deployment = settings.deployment;
            shadowDeployment = settings.shadowDeployment;
            cores = settings.server.cores();
            memoryKb = settings.server.memoryKb();
            runMemoryFactor = settings.server.runMemoryFactor();
            memoryPerKeyKb = settings.server.memoryPerKeyKb();
            gauges = settings.server.gauges();
            cold = settings.warmUp.cold();
            coldSpeed = settings.warmUp.coldSpeed();
            warmUpTime = settings.warmUp.duration();
            overloadFactor = settings.safety.overloadFactor();
            drainGrace = settings.safety.drainGrace();
            maxReadDelay = settings.safety.maxReadDelay();
            callers = settings.callers.callers();
            idleTimeout = settings.callers.idleTimeout();
            maxRetryAfter = settings.callers.maxRetryAfter();
            maxOutcomeAge = settings.callers.maxOutcomeAge();
            shareOfCalls = settings.downstream.shareOfCalls();
            callAveragingTime = settings.downstream.averagingTime();
            callLingerTime = settings.downstream.lingerTime();
            fleetSize = settings.downstream.fleetSize();
        }

        private static Duration millis(NumberSetting setting) {
            return Durations.ofMillis(setting.defaultValue());
        }

        /** What the deployment is capable of. */
        public Builder deployment(DeploymentProfile value) {
            deployment = value;
            return this;
        }

        /** The profile that shadow mode compares with the one in force. */
        public Builder shadowDeployment(DeploymentProfile value) {
            shadowDeployment = Optional.of(value);
            return this;
        }

        /** Adds a priority class; its index is the number of classes before it. */
        public Builder addPriorityClass(PriorityClassSettings.Builder value) {
            priorityClasses.add(value.build());
            return this;
        }

        /** Changes the priority class of that index. */
        public Builder changePriorityClass(int index, UnaryOperator<PriorityClassSettings.Builder> change) {
            priorityClasses.set(
                    index, change.apply(priorityClasses.get(index).toBuilder()).build());
            return this;
        }

        /** The number of cores. */
        public Builder cores(int value) {
            cores = value;
            return this;
        }

        /** The memory that requests and idempotency keys may use, in KB; without this there is no limit. */
        public Builder memoryKb(double value) {
            memoryKb = OptionalDouble.of(value);
            return this;
        }

        /** How many times the memory of a queued request a started one uses. */
        public Builder runMemoryFactor(double value) {
            runMemoryFactor = value;
            return this;
        }

        /** The memory of a retained request, in KB. */
        public Builder memoryPerKeyKb(double value) {
            memoryPerKeyKb = value;
            return this;
        }

        /** The gauges of each sample, in their order. */
        public Builder gauges(List<Gauge> value) {
            gauges = value;
            return this;
        }

        /** Whether the server has just started. */
        public Builder cold(boolean value) {
            cold = value;
            return this;
        }

        /** The fraction of its full speed that a cold server starts at. */
        public Builder coldSpeed(double value) {
            coldSpeed = value;
            return this;
        }

        /** How long a cold server takes to its full speed. */
        public Builder warmUpTime(Duration value) {
            warmUpTime = value;
            return this;
        }

        /** How many started requests a core survives. */
        public Builder overloadFactor(double value) {
            overloadFactor = value;
            return this;
        }

        /** For how long after the start of a drain arrivals may still be run. */
        public Builder drainGrace(Duration value) {
            drainGrace = value;
            return this;
        }

        /** No duplicate is read later than this after its arrival. */
        public Builder maxReadDelay(Duration value) {
            maxReadDelay = value;
            return this;
        }

        /** The number of callers. */
        public Builder callers(double value) {
            callers = value;
            return this;
        }

        /** After which callers close an idle connection. */
        public Builder idleTimeout(Duration value) {
            idleTimeout = value;
            return this;
        }

        /** The longest Retry-After of a rejection; zero, the default, for none. */
        public Builder maxRetryAfter(Duration value) {
            maxRetryAfter = value;
            return this;
        }

        /** For how long an outcome of an idempotent request may answer others of the same subject. */
        public Builder maxOutcomeAge(Duration value) {
            maxOutcomeAge = value;
            return this;
        }

        /** This server's share of the limit of a shared downstream service, in calls. */
        public Builder shareOfCalls(double value) {
            shareOfCalls = value;
            return this;
        }

        /** The time over which calls in progress are averaged. */
        public Builder callAveragingTime(Duration value) {
            callAveragingTime = value;
            return this;
        }

        /** How long a call that was given up still loads the downstream service at most. */
        public Builder callLingerTime(Duration value) {
            callLingerTime = value;
            return this;
        }

        /** How many servers share the limit of the downstream service; 0, the default, if that is not known. */
        public Builder fleetSize(double value) {
            fleetSize = value;
            return this;
        }

        /** The settings with these values. */
        public ControllerSettings build() {
            return new ControllerSettings(
                    new ServerSettings(cores, memoryKb, runMemoryFactor, memoryPerKeyKb, gauges),
                    new WarmUpSettings(cold, coldSpeed, warmUpTime),
                    new SafetySettings(overloadFactor, drainGrace, maxReadDelay),
                    new CallerSettings(callers, idleTimeout, maxRetryAfter, maxOutcomeAge),
                    new DownstreamSettings(shareOfCalls, callAveragingTime, callLingerTime, fleetSize),
                    deployment,
                    shadowDeployment,
                    priorityClasses);
        }
    }
}
