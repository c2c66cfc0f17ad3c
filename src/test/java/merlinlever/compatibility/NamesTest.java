package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import merlinlever.backend.management.StatusReport;
import merlinlever.common.WireNamed;
import merlinlever.dns.server.ZoneServerMetrics;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MessageKind;
import merlinlever.fleet.recovery.Finding;
import merlinlever.fleet.recovery.RecoveryStage;
import merlinlever.fleet.routes.LocalServiceHealth;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.host.state.InstanceStatus;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.RejectionReason;
import merlinlever.testing.faults.PowerLoss;
import merlinlever.testing.faults.QuotaFaults;
import merlinlever.testing.faults.ViewFaults;
import merlinlever.testing.faults.script.FaultScript;
import org.junit.jupiter.api.Test;

/**
 * Compatibility with version 0.2 of the names of constants in JSON, datagrams, files and commands, and of the members
 * of JSON objects.
 */
class NamesTest {

    private final Fixture fixture = new Fixture("names.txt");

    /**
     * Asserts the names of all constants in declaration order, which determines the codes in datagrams and the counts
     * in JSON.
     */
    private static <E extends Enum<E> & WireNamed> void assertWireNames(String expectedNames, List<E> constants) {
        assertEquals(List.of(constants.get(0).getDeclaringClass().getEnumConstants()), constants);
        assertEquals(expectedNames, constants.stream().map(WireNamed::wireName).collect(Collectors.joining(", ")));
        for (E constant : constants) {
            assertEquals(constant, WireNamed.parse(constant.getDeclaringClass(), constant.wireName()));
        }
    }

    @Test
    void namesOfDecisionsAndMembership() {
        assertWireNames(
                "leaving, hung, memory, hopeless, chance, late, unsettled",
                List.of(
                        RejectionReason.DRAINING,
                        RejectionReason.STALLED,
                        RejectionReason.MEMORY,
                        RejectionReason.OBJECTIVE_UNREACHABLE,
                        RejectionReason.RANDOM,
                        RejectionReason.EXPIRED,
                        RejectionReason.IDEMPOTENCY_UNKNOWN));
        assertWireNames(
                "alive, suspect, dead, left",
                List.of(MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT));
        assertWireNames(
                "ping, ack, ask_for, nack, sync, sync_back, recall, recalled, say, carry",
                List.of(
                        MessageKind.PING,
                        MessageKind.ACK,
                        MessageKind.PING_REQUEST,
                        MessageKind.NACK,
                        MessageKind.SYNC,
                        MessageKind.SYNC_REPLY,
                        MessageKind.RECOVERY_QUERY,
                        MessageKind.RECOVERY_REPLY,
                        MessageKind.TEXT,
                        MessageKind.PAYLOAD));
    }

    @Test
    void namesOfOrdersAndInstances() {
        assertWireNames(
                "start, drain, stop, restart",
                List.of(
                        OrderTracker.OrderVerb.START,
                        OrderTracker.OrderVerb.DRAIN,
                        OrderTracker.OrderVerb.STOP,
                        OrderTracker.OrderVerb.RESTART));
        assertWireNames(
                "under way, done, superseded, given up",
                List.of(
                        OrderTracker.OrderProgress.UNDER_WAY,
                        OrderTracker.OrderProgress.DONE,
                        OrderTracker.OrderProgress.SUPERSEDED,
                        OrderTracker.OrderProgress.GIVEN_UP));
        assertWireNames(
                "down, there, starting, cold, warm, slow, hung, draining, unreached, given_up",
                List.of(
                        InstanceSupervisor.InstanceState.DOWN,
                        InstanceSupervisor.InstanceState.UNMONITORED,
                        InstanceSupervisor.InstanceState.STARTING,
                        InstanceSupervisor.InstanceState.COLD,
                        InstanceSupervisor.InstanceState.WARM,
                        InstanceSupervisor.InstanceState.SLOW,
                        InstanceSupervisor.InstanceState.HUNG,
                        InstanceSupervisor.InstanceState.DRAINING,
                        InstanceSupervisor.InstanceState.UNREACHABLE,
                        InstanceSupervisor.InstanceState.GIVEN_UP));
    }

    @Test
    void namesOfQuorumRecoveryAndRoutes() {
        assertWireNames(
                "whole, most, few, alone, disagreeing, returning",
                List.of(
                        QuorumStatus.FULL,
                        QuorumStatus.MAJORITY,
                        QuorumStatus.MINORITY,
                        QuorumStatus.ISOLATED,
                        QuorumStatus.CONFLICTING,
                        QuorumStatus.RECOVERING));
        assertWireNames(
                "cold, rejoined, reconciled, warm",
                List.of(RecoveryStage.COLD, RecoveryStage.REJOINED, RecoveryStage.RECONCILED, RecoveryStage.WARM));
        assertWireNames(
                "kept, aged, thrown away, absent",
                List.of(
                        Finding.Disposition.KEPT,
                        Finding.Disposition.AGED,
                        Finding.Disposition.DISCARDED,
                        Finding.Disposition.ABSENT));
        assertWireNames("customer, peer, provider", List.of(Relation.CUSTOMER, Relation.PEER, Relation.PROVIDER));
        assertWireNames(
                "good, slow, away",
                List.of(
                        LocalServiceHealth.HealthState.HEALTHY,
                        LocalServiceHealth.HealthState.SLOW,
                        LocalServiceHealth.HealthState.UNREACHABLE));
    }

    @Test
    void namesOfScriptedFaultsAndPowerLosses() {
        assertWireNames(
                "kill, term, pause, resume, restart, power, isolate, partition, delay, drop, duplicate, slow, reset, heal",
                List.of(
                        FaultScript.FaultKind.KILL,
                        FaultScript.FaultKind.TERM,
                        FaultScript.FaultKind.PAUSE,
                        FaultScript.FaultKind.RESUME,
                        FaultScript.FaultKind.RESTART,
                        FaultScript.FaultKind.POWER,
                        FaultScript.FaultKind.ISOLATE,
                        FaultScript.FaultKind.PARTITION,
                        FaultScript.FaultKind.DELAY,
                        FaultScript.FaultKind.DROP,
                        FaultScript.FaultKind.DUPLICATE,
                        FaultScript.FaultKind.SLOW,
                        FaultScript.FaultKind.RESET,
                        FaultScript.FaultKind.HEAL));
        assertWireNames(
                "all, last-first, half, torn, emptied, copied, clock-back, twice, partition, slow-link",
                List.of(
                        PowerLoss.PowerLossKind.ALL,
                        PowerLoss.PowerLossKind.LAST_FIRST,
                        PowerLoss.PowerLossKind.HALF,
                        PowerLoss.PowerLossKind.TORN,
                        PowerLoss.PowerLossKind.EMPTIED,
                        PowerLoss.PowerLossKind.COPIED,
                        PowerLoss.PowerLossKind.CLOCK_BACK,
                        PowerLoss.PowerLossKind.TWICE,
                        PowerLoss.PowerLossKind.PARTITION,
                        PowerLoss.PowerLossKind.SLOW_LINK));
    }

    @Test
    void namesOfViewAndQuotaFaults() {
        assertWireNames(
                "parted, one-cut-off, one-way, pause, kill, flap, slow",
                List.of(
                        ViewFaults.ViewFaultKind.PARTED,
                        ViewFaults.ViewFaultKind.ONE_CUT_OFF,
                        ViewFaults.ViewFaultKind.ONE_WAY,
                        ViewFaults.ViewFaultKind.PAUSE,
                        ViewFaults.ViewFaultKind.KILL,
                        ViewFaults.ViewFaultKind.FLAP,
                        ViewFaults.ViewFaultKind.SLOW));
        assertWireNames(
                "kill, kill-leader, pause, pause-leader, partition, three-sides, slow-leader, lossy, power, whole",
                List.of(
                        QuotaFaults.QuotaFaultKind.KILL,
                        QuotaFaults.QuotaFaultKind.KILL_LEADER,
                        QuotaFaults.QuotaFaultKind.PAUSE,
                        QuotaFaults.QuotaFaultKind.PAUSE_LEADER,
                        QuotaFaults.QuotaFaultKind.PARTITION,
                        QuotaFaults.QuotaFaultKind.THREE_SIDES,
                        QuotaFaults.QuotaFaultKind.SLOW_LEADER,
                        QuotaFaults.QuotaFaultKind.LOSSY,
                        QuotaFaults.QuotaFaultKind.POWER,
                        QuotaFaults.QuotaFaultKind.WHOLE));
    }

    @Test
    void namesAreParsedInAnyCaseAndOthersRejected() {
        assertEquals(OrderTracker.OrderVerb.START, WireNamed.parse(OrderTracker.OrderVerb.class, "Start"));
        assertThrows(IllegalArgumentException.class, () -> WireNamed.parse(OrderTracker.OrderVerb.class, ""));
    }

    @Test
    void instanceStatusMatches() throws Exception {
        Map<RejectionReason, Long> rejected = new EnumMap<>(RejectionReason.class);
        for (RejectionReason reason : RejectionReason.values()) {
            rejected.put(reason, rejected.size() + 1L);
        }
        ControllerMetrics metrics = new ControllerMetrics(
                new ControllerMetrics.RequestCounts(1, 2, 3, rejected, 8), 4.5, 0.25, 0.125, false, false, 1);
        fixture.assertMatches("state.warm", StatusReport.toJson(false, true, 3, 1000, metrics, "{\"stage\":\"warm\"}"));
        fixture.assertMatches("state.starting", StatusReport.toJson(false, false, 0, 10, null, null));
        InstanceStatus status = new InstanceStatus(
                "warm",
                true,
                false,
                1,
                2,
                3,
                4.5,
                0.25,
                0.125,
                Map.of("chance", 2L),
                8,
                List.of(new InstanceStatus.QuotaShare("calls", 100, 11, 1760, 2, "b1", 5)),
                new InstanceStatus.ViewStatus("whole", 1000, "3.1", "801ad0959cc1"));
        fixture.assertMatches("told", new ObjectMapper().writeValueAsString(status));
        fixture.assertMatches("dns.counts", new ZoneServerMetrics(new SimpleMeterRegistry()).summary());
    }
}
