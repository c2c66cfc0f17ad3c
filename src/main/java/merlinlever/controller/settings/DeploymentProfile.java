package merlinlever.controller.settings;

import java.util.EnumSet;
import java.util.Set;

/**
 * Capabilities of a deployment.
 *
 * @param downstream the kind of downstream service
 * @param runStopping how runs can be stopped
 * @param endpointListFollowsHealth whether unhealthy servers are removed from the endpoint list
 * @param signal the backpressure signal that callers receive
 */
public record DeploymentProfile(
        DownstreamKind downstream,
        RunStopping runStopping,
        boolean endpointListFollowsHealth,
        BackpressureSignal signal) {

    /** Deployment without a downstream service and without any of the capabilities. */
    public static final DeploymentProfile MINIMAL =
            new DeploymentProfile(DownstreamKind.NONE, RunStopping.NONE, false, BackpressureSignal.NONE);

    /** Returns the settings in which the profiles differ. */
    public Set<DeploymentSetting> differences(DeploymentProfile other) {
        Set<DeploymentSetting> differing = EnumSet.noneOf(DeploymentSetting.class);
        if (downstream != other.downstream) {
            differing.add(DeploymentSetting.DOWNSTREAM);
        }
        if (runStopping != other.runStopping) {
            differing.add(DeploymentSetting.RUN_STOPPING);
        }
        if (endpointListFollowsHealth != other.endpointListFollowsHealth) {
            differing.add(DeploymentSetting.READINESS);
        }
        if (signal != other.signal) {
            differing.add(DeploymentSetting.SIGNAL);
        }
        return differing;
    }
}
