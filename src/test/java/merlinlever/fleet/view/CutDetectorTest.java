package merlinlever.fleet.view;

import static merlinlever.fleet.view.ViewFixture.REPORT_VALIDITY;
import static merlinlever.fleet.view.ViewFixture.ms;
import static merlinlever.fleet.view.ViewFixture.names;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

class CutDetectorTest {

    private static final int TICK_MS = 100;
    private static final int REPORT_INTERVAL_MS = 500;

    /** A leader b0 that receives the reports of a fleet. */
    private static final class CutScenario {
        final CutDetector cutDetector = new CutDetector(ViewSettings.defaults());
        final MembershipView view;
        final ObserverRings rings;
        final VoterSet voters;
        int lastPoll;

        CutScenario(int members, int voters) {
            view = MembershipView.of(MembershipView.numberOf(1, 1), names(members));
            rings = new ObserverRings(view.members());
            this.voters = new VoterSet(List.copyOf(names(voters)), "b0");
        }

        void report(long atMs, String member, int heardVoters, List<String> unreachable) {
            CutDetector.MemberReport report =
                    new CutDetector.MemberReport(ms(atMs), lastPoll, view.number(), 0, heardVoters, unreachable);
            cutDetector.recordReport(member, report, REPORT_VALIDITY);
        }

        Optional<SortedSet<String>> dueMembers(long atMs) {
            return cutDetector.dueMembers(
                    ms(atMs), voters, view, rings, name -> Optional.of(ViewFixture.alive(name)), REPORT_VALIDITY);
        }

        /**
         * Lets all members except the silent ones report their unreachable subjects every 500 ms.
         *
         * @param isUnreachable whether an observer (first argument) finds a subject (second argument) unreachable
         * @return the members after the first change; empty if no change was due
         */
        Optional<SortedSet<String>> run(
                long fromMs, long toMs, Set<String> silent, BiPredicate<String, String> isUnreachable) {
            for (long atMs = fromMs; atMs < toMs; atMs += TICK_MS) {
                if (atMs % REPORT_INTERVAL_MS == 0) {
                    lastPoll++;
                    for (String member : view.members()) {
                        if (!silent.contains(member)) {
                            List<String> unreachable = new ArrayList<>(rings.subjects(member));
                            unreachable.removeIf(subject -> !isUnreachable.test(member, subject));
                            report(atMs, member, voters.majority(), unreachable);
                        }
                    }
                }
                Optional<SortedSet<String>> next = dueMembers(atMs);
                if (next.isPresent()) {
                    return next;
                }
            }
            return Optional.empty();
        }
    }

    @Test
    void reportsOfAFewObserversRemoveNoMemberAndReportsOfAllRemoveIt() {
        for (int size : new int[] {5, 9, 40}) {
            CutScenario fewReports = new CutScenario(size, 5);
            List<String> observers = new ArrayList<>(fewReports.rings.observers("b3"));
            List<String> reportingObservers = observers.subList(0, ObserverRings.lowThreshold(observers.size()));
            assertEquals(
                    Optional.empty(),
                    fewReports.run(
                            0,
                            30_000,
                            Set.of(),
                            (observer, subject) -> subject.equals("b3") && reportingObservers.contains(observer)));
            TreeSet<String> remaining = names(size);
            remaining.remove("b3");
            assertEquals(
                    Optional.of(remaining),
                    new CutScenario(size, 5).run(0, 30_000, Set.of("b3"), (observer, subject) -> subject.equals("b3")));
        }
    }

    @Test
    void membersThatFailTogetherAreRemovedInOneChangeEvenIfTheyAreDetectedOneAfterAnother() {
        CutScenario scenario = new CutScenario(40, 5);
        Set<String> dead = Set.of("b10", "b20", "b30");
        // All observers of b10 report it from the start; the other two stay between the thresholds for three seconds.
        Optional<SortedSet<String>> first = Optional.empty();
        for (long startMs = 0; startMs < 20_000 && first.isEmpty(); startMs += REPORT_INTERVAL_MS) {
            boolean allDetected = startMs >= 3000;
            first = scenario.run(
                    startMs,
                    startMs + REPORT_INTERVAL_MS,
                    dead,
                    (observer, subject) -> dead.contains(subject)
                            && (subject.equals("b10")
                                    || allDetected
                                    || new ArrayList<>(scenario.rings.observers(subject)).indexOf(observer) < 4));
        }
        TreeSet<String> remaining = names(40);
        remaining.removeAll(dead);
        assertEquals(Optional.of(remaining), first);
    }

    @Test
    void reportsOfAMemberThatHearsNoPeerRemoveNoMember() {
        CutScenario scenario = new CutScenario(3, 3);
        // b2 reports both peers as unreachable, but its reports do not count, as it hears no majority of the voters.
        for (long atMs = 0; atMs < 30_000; atMs += TICK_MS) {
            scenario.lastPoll++;
            scenario.report(atMs, "b0", 3, List.of());
            scenario.report(atMs, "b1", 2, List.of("b2"));
            scenario.report(atMs, "b2", 1, List.of("b0", "b1"));
            assertEquals(Optional.empty(), scenario.dueMembers(atMs));
        }
    }

    @Test
    void reportsOfMembersThatHearTooFewVotersAreNotCounted() {
        CutScenario scenario = new CutScenario(5, 5);
        for (long atMs = 0; atMs < 30_000; atMs += TICK_MS) {
            scenario.lastPoll++;
            for (String member : scenario.view.members()) {
                boolean isSubject = member.equals("b3");
                scenario.report(atMs, member, isSubject ? 5 : 2, isSubject ? List.of() : List.of("b3"));
            }
            assertEquals(Optional.empty(), scenario.dueMembers(atMs));
        }
    }
}
