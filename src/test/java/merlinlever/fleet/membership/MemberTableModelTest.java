package merlinlever.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Walks every state that three members can reach: any suspicion of anyone at any time, right or wrong, one restart without
 * persisted state, one that leaves, and any record that was ever sent reaching anyone at any later time, any number of times or
 * never.
 */
class MemberTableModelTest {

    private static final String[] NAMES = {"a", "b", "c"};
    /** Suspicions are raised up to this incarnation; each raises it by one, so this bounds the walk. */
    private static final int MAX_SUSPECTED_INCARNATION = 1;

    private static final int STATUSES = MemberStatus.values().length;
    private static final int INCARNATIONS = 5;
    private static final int RECORDS_PER_MEMBER = STATUSES * INCARNATIONS;
    private static final MemberRecord[] ALL_RECORDS = allRecords();

    private static MemberRecord[] allRecords() {
        MemberRecord[] records = new MemberRecord[NAMES.length * RECORDS_PER_MEMBER];
        for (int index = 0; index < records.length; index++) {
            int member = index / RECORDS_PER_MEMBER;
            MemberStatus status = MemberStatus.values()[index % STATUSES];
            int incarnation = index % RECORDS_PER_MEMBER / STATUSES;
            records[index] = new MemberRecord(NAMES[member], "g" + member, "p" + member, status, incarnation);
        }
        return records;
    }

    private static int indexOf(MemberRecord member) {
        assertTrue(member.incarnation() < INCARNATIONS, "no room for incarnation " + member.incarnation());
        return (member.name().charAt(0) - 'a') * RECORDS_PER_MEMBER
                + member.status().ordinal()
                + STATUSES * (int) member.incarnation();
    }

    private static final class FleetState {
        final MemberTable[] tables = new MemberTable[3];
        /** Which of all possible records were ever sent, by their index. */
        long sentRecords;

        boolean bRestarted;
        boolean cLeft;

        FleetState copy() {
            FleetState copy = new FleetState();
            for (int i = 0; i < 3; i++) {
                copy.tables[i] = tables[i].copy();
            }
            copy.sentRecords = sentRecords;
            copy.bRestarted = bRestarted;
            copy.cLeft = cLeft;
            return copy;
        }

        void sendAllRecords() {
            for (MemberTable table : tables) {
                for (MemberRecord member : table.records()) {
                    sentRecords |= 1L << indexOf(member);
                }
            }
        }

        /** The whole state in a few characters. */
        String key() {
            StringBuilder key = new StringBuilder(12);
            for (MemberTable table : tables) {
                for (String name : NAMES) {
                    MemberRecord member = table.find(name).orElse(null);
                    key.append((char)
                            (member == null ? 0 : 1 + member.status().ordinal() + STATUSES * member.incarnation()));
                }
            }
            for (int i = 0; i < 4; i++) {
                key.append((char) (sentRecords >>> (16 * i)));
            }
            return key.append((char) ((bRestarted ? 1 : 0) + (cLeft ? 2 : 0))).toString();
        }

        boolean isLive(int i) {
            return i != 2 || !cLeft;
        }
    }

    private static MemberTable newTable(int i) {
        return new MemberTable(NAMES[i], "g" + i, "p" + i, 0);
    }

    private static List<FleetState> successors(FleetState state) {
        List<FleetState> successors = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            if (state.isLive(i)) {
                addSuspicions(state, i, successors);
                addDeliveries(state, i, successors);
            }
        }
        if (!state.bRestarted) {
            FleetState restarted = state.copy();
            restarted.tables[1] = newTable(1);
            restarted.bRestarted = true;
            successors.add(restarted);
        }
        if (!state.cLeft) {
            FleetState left = state.copy();
            left.tables[2].markSelfLeft();
            left.cLeft = true;
            successors.add(left);
        }
        successors.forEach(FleetState::sendAllRecords);
        return successors;
    }

    private static void addSuspicions(FleetState state, int observer, List<FleetState> successors) {
        for (int subject = 0; subject < 3; subject++) {
            MemberRecord known = state.tables[observer].find(NAMES[subject]).orElse(null);
            if (subject == observer || known == null) {
                continue;
            }
            if (known.status() == MemberStatus.ALIVE && known.incarnation() < MAX_SUSPECTED_INCARNATION) {
                FleetState next = state.copy();
                next.tables[observer].markSuspect(NAMES[subject]);
                successors.add(next);
            }
            if (known.status() == MemberStatus.SUSPECT) {
                FleetState next = state.copy();
                next.tables[observer].markDead(NAMES[subject]);
                successors.add(next);
            }
        }
    }

    private static void addDeliveries(FleetState state, int receiver, List<FleetState> successors) {
        for (long left = state.sentRecords; left != 0; left &= left - 1) {
            MemberRecord update = ALL_RECORDS[Long.numberOfTrailingZeros(left)];
            MemberRecord before = state.tables[receiver].find(update.name()).orElse(null);
            if (before != null && !MemberTable.supersedes(update, before)) {
                // It says nothing new here: the same state.
                continue;
            }
            FleetState next = state.copy();
            next.tables[receiver].merge(update);
            MemberRecord after = next.tables[receiver].find(update.name()).orElse(null);
            assertTrue(
                    before == null || after.equals(before) || MemberTable.supersedes(after, before),
                    "a belief went back");
            successors.add(next);
        }
    }

    /** All that are live send each other all that they believe, until nothing is new. */
    private static void converge(FleetState state) {
        boolean changed = true;
        for (int rounds = 0; changed; rounds++) {
            assertTrue(rounds < 20, "does not converge");
            changed = false;
            for (int sender = 0; sender < 3; sender++) {
                for (int receiver = 0; receiver < 3; receiver++) {
                    if (sender != receiver && state.isLive(sender) && state.isLive(receiver)) {
                        for (MemberRecord member : state.tables[sender].records()) {
                            changed |= state.tables[receiver].merge(member).isPresent();
                        }
                    }
                }
            }
        }
    }

    private static FleetState initialState() {
        FleetState initial = new FleetState();
        for (int i = 0; i < 3; i++) {
            initial.tables[i] = newTable(i);
        }
        for (int i = 0; i < 3; i++) {
            for (int k = 0; k < 3; k++) {
                initial.tables[i].merge(new MemberRecord(NAMES[k], "g" + k, "p" + k, MemberStatus.ALIVE, 0));
            }
        }
        initial.sendAllRecords();
        return initial;
    }

    private static void assertConvergesRightly(FleetState state) {
        FleetState converged = state.copy();
        MemberRecord leaverBefore = converged.tables[0].find("c").orElse(null);
        boolean knewThatLeft = leaverBefore != null && leaverBefore.status() == MemberStatus.LEFT;
        converge(converged);
        for (int i = 0; i < 3; i++) {
            for (int k = 0; k < 3; k++) {
                if (converged.isLive(i) && converged.isLive(k)) {
                    MemberRecord believed = converged.tables[i].find(NAMES[k]).orElse(null);
                    assertEquals(MemberStatus.ALIVE, believed.status(), state::key);
                    assertEquals(converged.tables[k].find(NAMES[k]).orElse(null), believed, state::key);
                }
            }
        }
        assertEquals(converged.tables[0].find("c"), converged.tables[1].find("c"));
        assertFalse(
                knewThatLeft
                        && converged.cLeft
                        && converged.tables[0].find("c").orElseThrow().status() != MemberStatus.LEFT,
                "one that left came back");
    }

    @Test
    void noLiveMemberStaysDeadOneThatLeftStaysAwayAndTablesConverge() {
        assertTrue(MAX_SUSPECTED_INCARNATION <= 1, "the key has room for incarnations up to 4");
        FleetState initial = initialState();
        Set<String> seen = new HashSet<>();
        ArrayDeque<FleetState> open = new ArrayDeque<>(List.of(initial));
        seen.add(initial.key());
        while (!open.isEmpty()) {
            FleetState state = open.poll();
            assertConvergesRightly(state);
            for (FleetState successor : successors(state)) {
                if (seen.add(successor.key())) {
                    open.add(successor);
                }
            }
            assertTrue(seen.size() < 3_000_000, "more states than expected");
        }
        assertTrue(seen.size() > 5_000, "walked only " + seen.size());
    }
}
