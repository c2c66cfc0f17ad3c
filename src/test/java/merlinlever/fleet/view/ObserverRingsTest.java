package merlinlever.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ObserverRingsTest {

    @Property(tries = 60, seed = "29")
    void membersHaveDistinctObserversAndTheRemovalOfOneMemberChangesFewOfThem(
            @ForAll @IntRange(min = 1, max = 120) int size) {
        TreeSet<String> members = ViewFixture.names(size);
        ObserverRings rings = new ObserverRings(members);
        int observersPerMember = Math.min(ObserverRings.MAX_RINGS, size - 1);
        int subjects = 0;
        for (String member : members) {
            Set<String> observers = rings.observers(member);
            assertEquals(observersPerMember, observers.size());
            assertFalse(observers.contains(member));
            observers.forEach(observer -> assertTrue(rings.subjects(observer).contains(member)));
            subjects += rings.subjects(member).size();
        }
        assertEquals(size * observersPerMember, subjects);
        if (size > 40) {
            TreeSet<String> remaining = new TreeSet<>(members);
            remaining.remove("b7");
            ObserverRings after = new ObserverRings(remaining);
            int changed = 0;
            for (String member : remaining) {
                Set<String> replaced = new HashSet<>(rings.observers(member));
                replaced.removeAll(after.observers(member));
                changed += replaced.size();
            }
            assertTrue(
                    changed <= 4 * ObserverRings.MAX_RINGS,
                    changed + " observers changed after the removal of one member, number of members " + size);
        }
    }
}
