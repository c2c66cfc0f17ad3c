package merlinlever.controller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.UnaryOperator;
import merlinlever.common.Durations;

/**
 * Settings of one controller. {@link SettingsParser} parses them from the operator's configuration; tests and servers
 * with fixed settings use the {@link #builder}, which starts from the defaults.
 *
 * @param server the machine and its limits
 * @param warmUp the server's warm-up after a start
 * @param safety the parameters of the safety rules
 * @param callers the callers
 * @param downstream the call limit, which applies if the {@link #deployment} has a shared downstream service
 * @param deployment the capabilities of the deployment
 * @param shadowDeployment the profile that shadow mode compares with the active profile; empty without shadow mode
 * @param priorityClasses the priority classes in the order of their indexes
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

    /** Creates the settings with an unmodifiable copy of the priority classes. */
    public ControllerSettings {
        priorityClasses = List.copyOf(priorityClasses);
    }

    /** Returns a builder with the defaults and without a priority class. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of these settings. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Builder of controller settings; values that are not set have their defaults. */
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
        private Duration maxOutcomeAge = millis(NumberSetting.MAX_OUTCOME_AGE);
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

        /** Sets the capabilities of the deployment. */
        public Builder deployment(DeploymentProfile value) {
            deployment = value;
            return this;
        }

        /** Sets the profile that shadow mode compares with the active profile. */
        public Builder shadowDeployment(DeploymentProfile value) {
            shadowDeployment = Optional.of(value);
            return this;
        }

        /** Adds a priority class with the next index. */
        public Builder addPriorityClass(PriorityClassSettings.Builder value) {
            priorityClasses.add(value.build());
            return this;
        }

        /** Changes the priority class with the index. */
        public Builder changePriorityClass(int index, UnaryOperator<PriorityClassSettings.Builder> change) {
            priorityClasses.set(
                    index, change.apply(priorityClasses.get(index).toBuilder()).build());
            return this;
        }

        /** Sets the number of cores. */
        public Builder cores(int value) {
            cores = value;
            return this;
        }

        /** Sets the memory limit of requests and idempotency keys, in KB; the default is no limit. */
        public Builder memoryKb(double value) {
            memoryKb = OptionalDouble.of(value);
            return this;
        }

        /** Sets the ratio of the memory of a started request to the memory of a queued one. */
        public Builder runMemoryFactor(double value) {
            runMemoryFactor = value;
            return this;
        }

        /** Sets the memory of a retained request, in KB. */
        public Builder memoryPerKeyKb(double value) {
            memoryPerKeyKb = value;
            return this;
        }

        /** Sets the gauges of each sample, in their order. */
        public Builder gauges(List<Gauge> value) {
            gauges = value;
            return this;
        }

        /** Sets whether the server starts cold. */
        public Builder cold(boolean value) {
            cold = value;
            return this;
        }

        /** Sets the initial speed of a cold server, as a fraction of its full speed. */
        public Builder coldSpeed(double value) {
            coldSpeed = value;
            return this;
        }

        /** Sets the time until a cold server reaches its full speed. */
        public Builder warmUpTime(Duration value) {
            warmUpTime = value;
            return this;
        }

        /** Sets the number of started requests that a core can sustain. */
        public Builder overloadFactor(double value) {
            overloadFactor = value;
            return this;
        }

        /** Sets the grace period after the start of a drain, in which arrivals may still be run. */
        public Builder drainGrace(Duration value) {
            drainGrace = value;
            return this;
        }

        /** Sets the maximum time from the arrival of a duplicate until its read. */
        public Builder maxReadDelay(Duration value) {
            maxReadDelay = value;
            return this;
        }

        /** Sets the number of callers. */
        public Builder callers(double value) {
            callers = value;
            return this;
        }

        /** Sets the time after which callers close an idle connection. */
        public Builder idleTimeout(Duration value) {
            idleTimeout = value;
            return this;
        }

        /** Sets the longest Retry-After of a rejection; the default is zero, for no Retry-After. */
        public Builder maxRetryAfter(Duration value) {
            maxRetryAfter = value;
            return this;
        }

        /** Sets how long the outcome of an idempotent request may be shared with others of the same subject. */
        public Builder maxOutcomeAge(Duration value) {
            maxOutcomeAge = value;
            return this;
        }

        /** Sets this server's share of the limit of a shared downstream service, in concurrent calls. */
        public Builder shareOfCalls(double value) {
            shareOfCalls = value;
            return this;
        }

        /** Sets the time over which concurrent calls are averaged. */
        public Builder callAveragingTime(Duration value) {
            callAveragingTime = value;
            return this;
        }

        /** Sets the maximum time for which a call loads the downstream service after its timeout. */
        public Builder callLingerTime(Duration value) {
            callLingerTime = value;
            return this;
        }

        /** Sets the number of servers that share the downstream service; the default is 0, for an unknown number. */
        public Builder fleetSize(double value) {
            fleetSize = value;
            return this;
        }

        /** Builds the settings. */
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
