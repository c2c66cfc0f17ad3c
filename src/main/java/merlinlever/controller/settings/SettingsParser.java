package merlinlever.controller.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import merlinlever.common.Durations;
import merlinlever.common.WireNamed;

/**
 * Converts {@link RawSettings} to {@link ControllerSettings}. The parser is lenient, so that a simulated server runs
 * with any settings: a malformed number is treated as missing, and an unknown word is replaced by a default.
 * {@link SettingsValidator} finds the settings with which a backend must not be started.
 */
public final class SettingsParser {

    private static final double NANOS_PER_MILLI = 1e6;

    private final RawSettings raw;

    private SettingsParser(RawSettings raw) {
        this.raw = raw;
    }

    /**
     * Returns the typed settings.
     *
     * @throws NumberFormatException if an element of {@code family-info.class-skip-worth} is not a number
     */
    public static ControllerSettings parse(RawSettings raw) {
        return new SettingsParser(raw).parse();
    }

    private ControllerSettings parse() {
        ControllerSettings.Builder settings = ControllerSettings.builder();
        parseServer(settings);
        parseRules(settings);
        parseCallers(settings);
        parseDownstream(settings);
        settings.deployment(profile(SettingPaths.ACTIVE_PROFILE, DeploymentProfile.MINIMAL));
        shadowProfile().ifPresent(settings::shadowDeployment);
        for (int i = 0; i < raw.classCount(); i++) {
            settings.addPriorityClass(priorityClass(i));
        }
        return settings.build();
    }

    private void parseServer(ControllerSettings.Builder settings) {
        settings.cores((int) Math.max(1, number(NumberSetting.CORES)))
                .runMemoryFactor(number(NumberSetting.RUN_MEMORY_FACTOR))
                .memoryPerKeyKb(number(NumberSetting.MEMORY_PER_KEY))
                .gauges(gauges());
        raw.number(NumberSetting.MEMORY.path()).ifPresent(settings::memoryKb);
    }

    private void parseRules(ControllerSettings.Builder settings) {
        settings.cold(raw.flag(SettingPaths.COLD))
                .coldSpeed(number(NumberSetting.COLD_SPEED))
                .warmUpTime(roundedDuration(NumberSetting.WARM_UP_TIME))
                .overloadFactor(number(NumberSetting.OVERLOAD_FACTOR))
                .drainGrace(duration(NumberSetting.DRAIN_GRACE))
                .maxReadDelay(duration(NumberSetting.MAX_READ_DELAY));
    }

    private void parseCallers(ControllerSettings.Builder settings) {
        settings.callers(number(NumberSetting.CALLERS))
                .idleTimeout(roundedDuration(NumberSetting.IDLE_TIMEOUT))
                .maxOutcomeAge(duration(NumberSetting.MAX_OUTCOME_AGE));
        if (raw.flag(SettingPaths.RETRY_AFTER)) {
            settings.maxRetryAfter(duration(NumberSetting.MAX_RETRY_AFTER));
        }
    }

    private void parseDownstream(ControllerSettings.Builder settings) {
        settings.shareOfCalls(number(NumberSetting.SHARE_OF_CALLS))
                .callAveragingTime(roundedDuration(NumberSetting.CALL_AVERAGING_TIME))
                .callLingerTime(roundedDuration(NumberSetting.CALL_LINGER_TIME))
                .fleetSize(number(NumberSetting.FLEET_SIZE));
    }

    private double number(NumberSetting setting) {
        return raw.number(setting.path()).orElse(setting.defaultValue());
    }

    /** Returns the duration, truncated to whole nanoseconds. */
    private Duration duration(NumberSetting setting) {
        return Durations.ofMillis(number(setting));
    }

    /** Returns the duration, rounded to whole nanoseconds to avoid an error when converted back to milliseconds. */
    private Duration roundedDuration(NumberSetting setting) {
        return Duration.ofNanos(Math.round(number(setting) * NANOS_PER_MILLI));
    }

    private List<Gauge> gauges() {
        if (!raw.has(SettingPaths.GAUGES)) {
            return List.of();
        }
        List<Gauge> gauges = new ArrayList<>();
        for (String name : raw.value(SettingPaths.GAUGES).split(",", -1)) {
            gauges.add(constant(Gauge.values(), name).orElse(Gauge.OTHER));
        }
        return gauges;
    }

    private Optional<DeploymentProfile> shadowProfile() {
        boolean hasShadowProfile = raw.paths().stream().anyMatch(path -> path.startsWith(SettingPaths.SHADOW_PROFILE));
        DeploymentProfile activeProfile = profile(SettingPaths.ACTIVE_PROFILE, DeploymentProfile.MINIMAL);
        return hasShadowProfile ? Optional.of(profile(SettingPaths.SHADOW_PROFILE, activeProfile)) : Optional.empty();
    }

    private DeploymentProfile profile(String prefix, DeploymentProfile defaults) {
        String readiness = raw.value(prefix + DeploymentSetting.READINESS.wireName());
        return new DeploymentProfile(
                constantOrFirst(prefix, DeploymentSetting.DOWNSTREAM, DownstreamKind.values(), defaults.downstream()),
                runStopping(prefix, defaults.runStopping()),
                readiness == null ? defaults.endpointListFollowsHealth() : Boolean.parseBoolean(readiness),
                constantOrFirst(prefix, DeploymentSetting.SIGNAL, BackpressureSignal.values(), defaults.signal()));
    }

    /** Returns how runs are stopped; an unknown word means that runs can be dropped. */
    private RunStopping runStopping(String prefix, RunStopping defaultValue) {
        String value = raw.value(prefix + DeploymentSetting.RUN_STOPPING.wireName());
        return value == null
                ? defaultValue
                : constant(RunStopping.values(), value).orElse(RunStopping.DROP);
    }

    /** Returns the constant of the setting: the default without the setting, the first constant for an unknown word. */
    private <E extends WireNamed> E constantOrFirst(
            String prefix, DeploymentSetting setting, E[] constants, E defaultValue) {
        String value = raw.value(prefix + setting.wireName());
        return value == null ? defaultValue : constant(constants, value).orElse(constants[0]);
    }

    private PriorityClassSettings.Builder priorityClass(int index) {
        String name = raw.value(SettingPaths.ofClass(index, SettingPaths.CLASS_NAME));
        String semantics = raw.value(SettingPaths.ofClass(index, SettingPaths.CLASS_SEMANTICS), "");
        String weightWithoutCall = raw.listElement(SettingPaths.WEIGHTS_WITHOUT_CALL, index, "0");
        String makesCalls = raw.listElement(SettingPaths.CALLS_BY_CLASS, index, "true");
        return PriorityClassSettings.named(name)
                .semantics(constant(RequestSemantics.values(), semantics).orElse(RequestSemantics.NON_IDEMPOTENT))
                .latencyObjective(duration(ClassNumberSetting.LATENCY_OBJECTIVE, index))
                .clientTimeout(duration(ClassNumberSetting.CLIENT_TIMEOUT, index))
                .idempotencyWindow(duration(ClassNumberSetting.IDEMPOTENCY_WINDOW, index))
                .objectiveStretch(number(ClassNumberSetting.OBJECTIVE_STRETCH, index))
                .weight(number(ClassNumberSetting.WEIGHT, index))
                .lateWeight(number(ClassNumberSetting.LATE_WEIGHT, index))
                .weightWithoutCall(Double.parseDouble(weightWithoutCall))
                .makesCalls(Boolean.parseBoolean(makesCalls));
    }

    private double number(ClassNumberSetting setting, int classIndex) {
        OptionalDouble value = raw.number(setting.path(classIndex));
        return value.orElse(setting.defaultValue());
    }

    private Duration duration(ClassNumberSetting setting, int classIndex) {
        return Durations.ofMillis(number(setting, classIndex));
    }

    /** Returns the constant whose canonical wire name is the value, if any. */
    static <E extends WireNamed> Optional<E> constant(E[] constants, String value) {
        for (E candidate : constants) {
            if (RawSettings.canonicalValue(candidate.wireName()).equals(value)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
