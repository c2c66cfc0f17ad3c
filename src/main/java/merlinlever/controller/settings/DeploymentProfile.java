package merlinlever.controller.settings;

import java.util.EnumSet;
import java.util.Set;

/**
 * What a deployment is capable of.
 *
 * @param downstream what lies downstream
 * @param runStopping how running work can be stopped
 * @param endpointListFollowsHealth whether the endpoint list drops a server that reports to be unhealthy
 * @param signal what callers are sent for them to hold back
 */
public record DeploymentProfile(
        DownstreamKind downstream,
        RunStopping runStopping,
        boolean endpointListFollowsHealth,
        BackpressureSignal signal) {

    /** A deployment without any of these capabilities, and without anything downstream. */
    public static final DeploymentProfile MINIMAL =
            new DeploymentProfile(DownstreamKind.NONE, RunStopping.NONE, false, BackpressureSignal.NONE);

    /** The settings whose value in the other profile is not the one in this. */
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
