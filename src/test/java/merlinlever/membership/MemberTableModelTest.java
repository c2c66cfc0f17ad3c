package merlinlever.membership;

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
 * Walks every state that three agents can come to: any suspicion of anyone at any time, right or wrong, one restart without
 * memory, one leaving, and any rumour that was ever told coming to anyone at any later time, any number of times or never.
 */
class MemberTableModelTest {

    private static final String[] NAMES = {"a", "b", "c"};
    /** Suspicions are raised up to this incarnation; that each raises it by one bounds the walk. */
    private static final int MOST_INCARNATION = 1;

    private static final class FleetState {
        final MemberTable[] views = new MemberTable[3];
        /** Which of all rumours that there can be were told. */
        long told;

        boolean restarted, cLeft;

        FleetState copy() {
            FleetState copy = new FleetState();
            for (int i = 0; i < 3; i++) {
                copy.views[i] = views[i].copy();
            }
            copy.told = told;
            copy.restarted = restarted;
            copy.cLeft = cLeft;
            return copy;
        }

        void tell() {
            for (int i = 0; i < 3; i++) {
                for (MemberTable.MemberRecord rumour : views[i].all()) {
                    told |= 1L << place(rumour);
                }
            }
        }

        /** All of it in a few characters. */
        String key() {
            StringBuilder key = new StringBuilder(12);
            for (MemberTable each : views) {
                for (String name : NAMES) {
                    MemberTable.MemberRecord rumour = each.find(name);
                    key.append((char) (rumour == null ? 0 : 1 + rumour.status().ordinal() + 4 * rumour.incarnation()));
                }
            }
            for (int i = 0; i < 4; i++) {
                key.append((char) (told >>> 16 * i));
            }
            return key.append((char) ((restarted ? 1 : 0) + (cLeft ? 2 : 0))).toString();
        }

        boolean live(int i) {
            return i != 2 || !cLeft;
        }
    }

    /** Of 20 each: four standings at five incarnations. */
    private static final int EACH = 20;

    private static int place(MemberTable.MemberRecord rumour) {
        assertTrue(rumour.incarnation() < EACH / 4, "no room for incarnation " + rumour.incarnation());
        return (rumour.name().charAt(0) - 'a') * EACH + rumour.status().ordinal() + 4 * (int) rumour.incarnation();
    }

    private static final MemberTable.MemberRecord[] RUMOURS = new MemberTable.MemberRecord[3 * EACH];

    static {
        for (int place = 0; place < RUMOURS.length; place++) {
            int who = place / EACH;
            RUMOURS[place] = new MemberTable.MemberRecord(
                    NAMES[who], "g" + who, "p" + who, MemberTable.MemberStatus.values()[place % 4], place % EACH / 4);
        }
    }

    private static MemberTable fresh(int i) {
        return new MemberTable(NAMES[i], "g" + i, "p" + i, 0);
    }

    private static List<FleetState> next(FleetState state) {
        List<FleetState> next = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            if (!state.live(i)) {
                continue;
            }
            for (int k = 0; k < 3; k++) {
                MemberTable.MemberRecord known = state.views[i].find(NAMES[k]);
                if (k == i || known == null) {
                    continue;
                }
                if (known.status() == MemberTable.MemberStatus.ALIVE && known.incarnation() < MOST_INCARNATION) {
                    FleetState made = state.copy();
                    made.views[i].markSuspect(NAMES[k]);
                    next.add(made);
                }
                if (known.status() == MemberTable.MemberStatus.SUSPECT) {
                    FleetState made = state.copy();
                    made.views[i].markDead(NAMES[k]);
                    next.add(made);
                }
            }
            for (long left = state.told; left != 0; left &= left - 1) {
                MemberTable.MemberRecord rumour = RUMOURS[Long.numberOfTrailingZeros(left)];
                MemberTable.MemberRecord known = state.views[i].find(rumour.name());
                if (known != null && !MemberTable.supersedes(rumour, known)) {
                    // It says nothing new here: the same state.
                    continue;
                }
                FleetState made = state.copy();
                MemberTable.MemberRecord before = made.views[i].find(rumour.name());
                made.views[i].merge(rumour);
                MemberTable.MemberRecord after = made.views[i].find(rumour.name());
                assertTrue(
                        before == null || after.equals(before) || MemberTable.supersedes(after, before),
                        "a belief went back");
                next.add(made);
            }
        }
        if (!state.restarted) {
            FleetState made = state.copy();
            made.views[1] = fresh(1);
            made.restarted = true;
            next.add(made);
        }
        if (!state.cLeft) {
            FleetState made = state.copy();
            made.views[2].markSelfLeft();
            made.cLeft = true;
            next.add(made);
        }
        next.forEach(FleetState::tell);
        return next;
    }

    /** All that live tell each other all that they believe, until nothing is new. */
    private static void settle(FleetState state) {
        boolean changed = true;
        for (int rounds = 0; changed; rounds++) {
            assertTrue(rounds < 20, "never quiet");
            changed = false;
            for (int i = 0; i < 3; i++) {
                for (int k = 0; k < 3; k++) {
                    if (i != k && state.live(i) && state.live(k)) {
                        for (MemberTable.MemberRecord rumour : state.views[i].all()) {
                            changed |= state.views[k].merge(rumour) != null;
                        }
                    }
                }
            }
        }
    }

    @Test
    void noLiveOneStaysDeadALeftOneStaysAwayAndViewsAgree() {
        assertTrue(MOST_INCARNATION <= 1, "the key has room for incarnations up to 4");
        FleetState first = new FleetState();
        for (int i = 0; i < 3; i++) {
            first.views[i] = fresh(i);
        }
        for (int i = 0; i < 3; i++) {
            for (int k = 0; k < 3; k++) {
                first.views[i].merge(
                        new MemberTable.MemberRecord(NAMES[k], "g" + k, "p" + k, MemberTable.MemberStatus.ALIVE, 0));
            }
        }
        first.tell();
        Set<String> seen = new HashSet<>();
        ArrayDeque<FleetState> open = new ArrayDeque<>(List.of(first));
        seen.add(first.key());
        while (!open.isEmpty()) {
            FleetState state = open.poll();
            FleetState calm = state.copy();
            List<Boolean> knewLeft = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                MemberTable.MemberRecord c = calm.views[i].find("c");
                knewLeft.add(c != null && c.status() == MemberTable.MemberStatus.LEFT);
            }
            settle(calm);
            for (int i = 0; i < 3; i++) {
                for (int k = 0; k < 3; k++) {
                    if (calm.live(i) && calm.live(k)) {
                        assertEquals(
                                MemberTable.MemberStatus.ALIVE,
                                calm.views[i].find(NAMES[k]).status(),
                                state::key);
                        assertEquals(calm.views[k].find(NAMES[k]), calm.views[i].find(NAMES[k]), state::key);
                    }
                }
            }
            assertEquals(calm.views[0].find("c"), calm.views[1].find("c"));
            assertFalse(
                    knewLeft.get(0) && calm.cLeft && calm.views[0].find("c").status() != MemberTable.MemberStatus.LEFT,
                    "one that left came back");
            for (FleetState each : next(state)) {
                if (seen.add(each.key())) {
                    open.add(each);
                }
            }
            assertTrue(seen.size() < 3_000_000, "more states than were meant to be walked");
        }
        assertTrue(seen.size() > 5_000, "walked only " + seen.size());
    }
}
