package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import merlinlever.WireNamed;
import merlinlever.faults.BudgetFaults;
import merlinlever.faults.PowerLoss;
import merlinlever.faults.ViewFaults;
import merlinlever.faults.script.Script;
import merlinlever.host.state.Keeper;
import merlinlever.host.state.Orders;
import merlinlever.host.state.Told;
import merlinlever.manage.Telling;
import merlinlever.members.Members;
import merlinlever.members.Views;
import merlinlever.policy.Control;
import merlinlever.recovery.Return;
import merlinlever.recovery.Trust;
import merlinlever.routes.Own;
import merlinlever.routes.Relation;
import merlinlever.view.Standing;
import merlinlever.zone.front.Counts;
import org.junit.jupiter.api.Test;

/** Names that leave the program: constants in JSON, on the wire, in files and commands; and the members of JSON objects. */
class NamesTest {

    private final Fixture fixture = new Fixture("names.txt");

    /** The constants in their order, which is that of codes in datagrams and of counts in JSON. */
    private static <E extends Enum<E> & WireNamed> void named(String names, List<E> constants) {
        assertEquals(List.of(constants.get(0).getDeclaringClass().getEnumConstants()), constants);
        assertEquals(names, constants.stream().map(WireNamed::wireName).collect(Collectors.joining(", ")));
        for (E each : constants) {
            assertEquals(each, WireNamed.parse(each.getDeclaringClass(), each.wireName()));
        }
    }

    @Test
    void constants() {
        named(
                "leaving, hung, memory, hopeless, chance, late, unsettled",
                List.of(
                        Control.Reason.LEAVING,
                        Control.Reason.HUNG,
                        Control.Reason.MEMORY,
                        Control.Reason.HOPELESS,
                        Control.Reason.CHANCE,
                        Control.Reason.LATE,
                        Control.Reason.UNSETTLED));
        named(
                "alive, suspect, dead, left",
                List.of(Views.Status.ALIVE, Views.Status.SUSPECT, Views.Status.DEAD, Views.Status.LEFT));
        named(
                "ping, ack, ask_for, nack, sync, sync_back, recall, recalled, say, carry",
                List.of(
                        Members.Kind.PING,
                        Members.Kind.ACK,
                        Members.Kind.ASK_FOR,
                        Members.Kind.NACK,
                        Members.Kind.SYNC,
                        Members.Kind.SYNC_BACK,
                        Members.Kind.RECALL,
                        Members.Kind.RECALLED,
                        Members.Kind.SAY,
                        Members.Kind.CARRY));
        named(
                "start, drain, stop, restart",
                List.of(Orders.Verb.START, Orders.Verb.DRAIN, Orders.Verb.STOP, Orders.Verb.RESTART));
        named(
                "under way, done, superseded, given up",
                List.of(Orders.End.UNDER_WAY, Orders.End.DONE, Orders.End.SUPERSEDED, Orders.End.GIVEN_UP));
        named(
                "down, there, starting, cold, warm, slow, hung, draining, unreached, given_up",
                List.of(
                        Keeper.State.DOWN,
                        Keeper.State.THERE,
                        Keeper.State.STARTING,
                        Keeper.State.COLD,
                        Keeper.State.WARM,
                        Keeper.State.SLOW,
                        Keeper.State.HUNG,
                        Keeper.State.DRAINING,
                        Keeper.State.UNREACHED,
                        Keeper.State.GIVEN_UP));
        named(
                "whole, most, few, alone, disagreeing, returning",
                List.of(
                        Standing.WHOLE,
                        Standing.MOST,
                        Standing.FEW,
                        Standing.ALONE,
                        Standing.DISAGREEING,
                        Standing.RETURNING));
        named(
                "cold, rejoined, reconciled, warm",
                List.of(Return.Stage.COLD, Return.Stage.REJOINED, Return.Stage.RECONCILED, Return.Stage.WARM));
        named(
                "kept, aged, thrown away, absent",
                List.of(Trust.Belief.KEPT, Trust.Belief.AGED, Trust.Belief.THROWN_AWAY, Trust.Belief.ABSENT));
        named("customer, peer, provider", List.of(Relation.CUSTOMER, Relation.PEER, Relation.PROVIDER));
        named("good, slow, away", List.of(Own.State.GOOD, Own.State.SLOW, Own.State.AWAY));
        named(
                "kill, term, pause, resume, restart, power, isolate, partition, delay, drop, duplicate, slow, reset, heal",
                List.of(
                        Script.Kind.KILL,
                        Script.Kind.TERM,
                        Script.Kind.PAUSE,
                        Script.Kind.RESUME,
                        Script.Kind.RESTART,
                        Script.Kind.POWER,
                        Script.Kind.ISOLATE,
                        Script.Kind.PARTITION,
                        Script.Kind.DELAY,
                        Script.Kind.DROP,
                        Script.Kind.DUPLICATE,
                        Script.Kind.SLOW,
                        Script.Kind.RESET,
                        Script.Kind.HEAL));
        named(
                "all, last-first, half, torn, emptied, copied, clock-back, twice, partition, slow-link",
                List.of(
                        PowerLoss.Kind.ALL,
                        PowerLoss.Kind.LAST_FIRST,
                        PowerLoss.Kind.HALF,
                        PowerLoss.Kind.TORN,
                        PowerLoss.Kind.EMPTIED,
                        PowerLoss.Kind.COPIED,
                        PowerLoss.Kind.CLOCK_BACK,
                        PowerLoss.Kind.TWICE,
                        PowerLoss.Kind.PARTITION,
                        PowerLoss.Kind.SLOW_LINK));
        named(
                "parted, one-cut-off, one-way, pause, kill, flap, slow",
                List.of(
                        ViewFaults.Kind.PARTED,
                        ViewFaults.Kind.ONE_CUT_OFF,
                        ViewFaults.Kind.ONE_WAY,
                        ViewFaults.Kind.PAUSE,
                        ViewFaults.Kind.KILL,
                        ViewFaults.Kind.FLAP,
                        ViewFaults.Kind.SLOW));
        named(
                "kill, kill-leader, pause, pause-leader, partition, three-sides, slow-leader, lossy, power, whole",
                List.of(
                        BudgetFaults.Kind.KILL,
                        BudgetFaults.Kind.KILL_LEADER,
                        BudgetFaults.Kind.PAUSE,
                        BudgetFaults.Kind.PAUSE_LEADER,
                        BudgetFaults.Kind.PARTITION,
                        BudgetFaults.Kind.THREE_SIDES,
                        BudgetFaults.Kind.SLOW_LEADER,
                        BudgetFaults.Kind.LOSSY,
                        BudgetFaults.Kind.POWER,
                        BudgetFaults.Kind.WHOLE));
        assertEquals(Orders.Verb.START, WireNamed.parse(Orders.Verb.class, "Start"));
        assertThrows(IllegalArgumentException.class, () -> WireNamed.parse(Orders.Verb.class, ""));
    }

    @Test
    void theStateOfAnInstance() throws Exception {
        Control.Figures figures =
                new Control.Figures(1, 2, 3, 4.5, 0.25, 0.125, false, false, 1, List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L), 8);
        fixture.pins("state.warm", Telling.of(false, true, 3, 1000, figures, "{\"stage\":\"warm\"}"));
        fixture.pins("state.starting", Telling.of(false, false, 0, 10, null, null));
        Told told = new Told(
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
                List.of(new Told.Share("calls", 100, 11, 1760, 2, "b1", 5)),
                new Told.View("whole", 1000, "3.1", "801ad0959cc1"));
        fixture.pins("told", new ObjectMapper().writeValueAsString(told));
        fixture.pins("dns.counts", new Counts(new SimpleMeterRegistry()).line());
    }
}
