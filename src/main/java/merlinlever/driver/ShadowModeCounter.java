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
 * Counts, in shadow mode, the decisions that another deployment profile would change. The decisions themselves are
 * not affected.
 */
final class ShadowModeCounter {

    private final Set<DeploymentSetting> differingSettings;
    private final Map<String, Long> differences = new TreeMap<>();

    private ShadowModeCounter(Set<DeploymentSetting> differingSettings) {
        this.differingSettings = differingSettings;
    }

    /** Returns a counter for the settings; empty without a shadow profile. */
    static Optional<ShadowModeCounter> of(ControllerSettings settings) {
        return settings.shadowDeployment()
                .map(shadow -> new ShadowModeCounter(settings.deployment().differences(shadow)));
    }

    /** Counts the decisions of one batch that the shadow profile would change. */
    void count(Decisions decisions) {
        // The shadow profile may stop runs in another way: dropped work is lost, paused work keeps its progress.
        add(DeploymentSetting.RUN_STOPPING, decisions.of(Decision.Stop.class).size());
        add(
                DeploymentSetting.SIGNAL,
                decisions.of(Decision.SendBackpressure.class).size());
        // If the endpoint list follows the health, each report removes or restores the server in the list.
        add(
                DeploymentSetting.READINESS,
                decisions.of(Decision.ReportHealth.class).size());
        add(
                DeploymentSetting.DOWNSTREAM,
                decisions.of(Decision.CallDownstream.class).size());
    }

    private void add(DeploymentSetting setting, long count) {
        if (count > 0 && differingSettings.contains(setting)) {
            differences.merge(setting.wireName(), count, Long::sum);
        }
    }

    /** Returns the number of decisions that the shadow profile would change, by setting in alphabetical order. */
    Map<String, Long> differences() {
        return new TreeMap<>(differences);
    }
}
