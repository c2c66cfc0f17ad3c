package merlinlever.driver;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DeploymentSetting;

/**
 * Shadow mode: counts how often another deployment profile would have decided otherwise than the one in force, without
 * changing a decision.
 */
final class ShadowModeCounter {

    private final Set<DeploymentSetting> differingSettings;
    private final Map<String, Long> differences = new TreeMap<>();

    private ShadowModeCounter(Set<DeploymentSetting> differingSettings) {
        this.differingSettings = differingSettings;
    }

    /** The counter over these settings; empty without a shadow profile. */
    static Optional<ShadowModeCounter> of(ControllerSettings settings) {
        return settings.shadowDeployment()
                .map(shadow -> new ShadowModeCounter(settings.deployment().differences(shadow)));
    }

    /** Counts what the shadowed settings would have decided otherwise in one batch of decisions. */
    void count(Decisions decisions) {
        // Dropped work is lost and its call cancelled; paused work keeps its progress and memory.
        add(DeploymentSetting.RUN_STOPPING, decisions.of(Decision.Stop.class).size());
        add(
                DeploymentSetting.SIGNAL,
                decisions.of(Decision.SendBackpressure.class).size());
        // Where the endpoint list follows health, every caller's list drops or takes back this server.
        add(
                DeploymentSetting.READINESS,
                decisions.of(Decision.ReportHealth.class).size());
        add(
                DeploymentSetting.DOWNSTREAM,
                decisions.of(Decision.CallDownstream.class).size());
    }

    private void add(DeploymentSetting setting, long times) {
        if (times > 0 && differingSettings.contains(setting)) {
            differences.merge(setting.wireName(), times, Long::sum);
        }
    }

    /** How often, by setting, the shadowed value would have decided otherwise; in alphabetical order. */
    Map<String, Long> differences() {
        return new TreeMap<>(differences);
    }
}
