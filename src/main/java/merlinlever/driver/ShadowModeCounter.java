package merlinlever.driver;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.settings.DeploymentProfile;

/**
 * Shadow mode: counts how often the settings under {@code watch.} would have decided otherwise than the settings in
 * force, without changing a decision. See {@link DeploymentProfile} for these settings.
 */
final class ShadowModeCounter {

    private final Set<String> differingSettings;
    private final Map<String, Long> differences = new TreeMap<>();

    private ShadowModeCounter(Collection<String> differingSettings) {
        this.differingSettings = new TreeSet<>(differingSettings);
    }

    /** The counter over these settings; empty unless a {@code watch.} setting is given. */
    static Optional<ShadowModeCounter> of(Map<String, String> settings) {
        return DeploymentProfile.hasShadowedSettings(settings)
                ? Optional.of(new ShadowModeCounter(DeploymentProfile.shadowedDifferently(settings)))
                : Optional.empty();
    }

    /** Counts what the shadowed settings would have decided otherwise in one batch of decisions. */
    void count(Decisions decisions) {
        // Dropped work is lost and its call cancelled; paused work keeps its progress and memory.
        add("halt", decisions.of(Decision.Stop.class).size());
        add("say", decisions.of(Decision.SendBackpressure.class).size());
        // Where the endpoint list follows health, every caller's list drops or takes back this server.
        add("readiness", decisions.of(Decision.ReportHealth.class).size());
        add("below", decisions.of(Decision.CallDownstream.class).size());
    }

    private void add(String setting, long times) {
        if (times > 0 && differingSettings.contains(setting)) {
            differences.merge(setting, times, Long::sum);
        }
    }

    /** How often, by setting, the shadowed value would have decided otherwise; in alphabetical order. */
    Map<String, Long> differences() {
        return new TreeMap<>(differences);
    }
}
