package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import merlinlever.Outcome;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The life of an operation with a clock and parties of the test's own. */
class BackendTest {

    @Example
    void aRunWithACallIsAnsweredOnceWithItsResult() {
        BackendFixture around = new BackendFixture();
        String a = around.take("look", null, "a");
        around.calls(a);
        around.replied(a, Outcome.OK);
        around.ends(a, Outcome.OK, "result");
        around.ends(a, Outcome.OK, "again");
        assertEquals("satisfied result", around.answer(a));
        assertEquals(List.of("launch " + a, "call " + a, "deliver " + a), around.asked);
    }

    /** Rule 2: whoever repeats a fingerprinted operation within its window gets the outcome of the one run. */
    @Example
    void repeatsShareTheOneRunWhileItLastsAndAfterIt() {
        BackendFixture around = new BackendFixture();
        String first = around.take("buy", "t", "a");
        String during = around.take("buy", "t", "a");
        around.ends(first, Outcome.OK, "done");
        String after = around.take("buy", "t", "a");
        around.after(4900);
        String late = around.take("buy", "t", "a");
        for (String name : List.of(first, during, after, late)) {
            assertEquals("satisfied done", around.answer(name));
        }
        assertEquals(List.of("launch " + first), around.asked);
        around.after(200);
        String next = around.take("buy", "t", "a");
        assertEquals(1, around.times("launch " + next));
    }

    /** The caller of the first went away; its run goes on for the one that asks again. */
    @Example
    void aRepeatGetsTheOutcomeOfARunWhoseCallerHasGone() {
        BackendFixture around = new BackendFixture();
        String first = around.take("buy", "t", "a");
        around.backend.callerGone(around.now, around.taken.get(first));
        around.settle();
        String again = around.take("buy", "t", "a");
        around.ends(first, Outcome.OK, "done");
        assertEquals("satisfied done", around.answer(again));
        assertTrue(around.answers.get(first).isEmpty());
    }

    @Example
    void aRepeatOfWhatFailedIsBrokenOffAndNotRun() {
        BackendFixture around = new BackendFixture();
        String first = around.take("buy", "t", "a");
        around.ends(first, Outcome.ERROR, "");
        String again = around.take("buy", "t", "a");
        assertEquals("broken off", around.answer(again));
        assertEquals(1, around.asked.size());
    }

    /** A mark that comes with another body, or for another tariff, stands for no operation that could be shared. */
    @Example
    void aMarkWithAnotherBodyIsBrokenOffAndLeavesTheFirstAlone() {
        BackendFixture around = new BackendFixture();
        String first = around.take("buy", "t", "a");
        String other = around.take("buy", "t", "b");
        assertEquals("broken off", around.answer(other));
        around.ends(first, Outcome.OK, "done");
        assertEquals("satisfied done", around.answer(first));
        assertEquals("satisfied done", around.answer(around.take("buy", "t", "a")));
    }

    /** The process's own limit: with more marks than are planned for, new ones are pushed back, none is dropped. */
    @Example
    void marksBeyondTheLimitOfTheProcessArePushedBackAndNoneIsForgotten() {
        BackendFixture around = new BackendFixture(Map.of("server.kb-per-fingerprint", "0"));
        int satisfied = 0;
        String name = around.take("buy", "t0", "a");
        for (int i = 0; around.times("launch " + name) == 1 && i < 4200; i++) {
            around.ends(name, Outcome.OK, "r" + i);
            satisfied++;
            name = around.take("buy", "t" + satisfied, "a");
        }
        assertTrue(satisfied > 3000 && satisfied < 4000, "" + satisfied);
        around.after(600);
        assertEquals("pushed back", around.answer(name));
        assertEquals("satisfied r0", around.answer(around.take("buy", "t0", "a")));
    }

    /** In a flood of pushbacks what was pushed back is let go of; only a run is remembered. */
    @Example
    void whatWasPushedBackIsNotHeldOnTo() {
        BackendFixture around = new BackendFixture();
        around.take("look", null, "a");
        around.backend.leave(around.now, around.now.plusMillis(10));
        for (int i = 0; i < 1000; i++) {
            around.take("buy", "t" + i, "a");
        }
        assertEquals(1, around.backend.known());
    }

    @Example
    void readsOfASubjectShareAFreshAnswerWhereThatIsAllowed() {
        BackendFixture around = new BackendFixture(Map.of("server.fresh-for", "1000"));
        for (int round = 0; round < 2; round++) {
            TrackedRequest[] works = new TrackedRequest[3];
            List<String> heard = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                works[i] = around.backend.arrived(
                        around.now,
                        new Backend.RequestMetadata(
                                ++around.ids,
                                "w",
                                0,
                                "look",
                                around.now,
                                null,
                                10,
                                null,
                                false,
                                null,
                                "s",
                                new byte[0]),
                        new ResponseSink() {
                            @Override
                            public void satisfied(byte[] result) {
                                heard.add(new String(result, StandardCharsets.UTF_8));
                            }

                            @Override
                            public void pushedBack(boolean nowhereElse, Duration stayAway) {}

                            @Override
                            public void brokenOff() {}
                        });
                around.settle();
                if (i == 1) {
                    around.ends(Long.toHexString(works[0].id), Outcome.OK, "fresh");
                }
            }
            assertEquals(List.of("fresh", "fresh", "fresh"), heard);
            assertEquals(round + 1, around.times("launch w"));
            around.after(1100);
        }
    }

    /** The gauge is a round trip old: it does not know what was sent onto the cores after it was asked for. */
    @Example
    void runsThatLeftAfterTheGaugeWasAskedForAreAddedToIt() {
        BackendFixture around = new BackendFixture();
        around.take("look", null, "a");
        around.backend.alarmed(around.now);
        around.take("look", null, "b");
        around.take("look", null, "c");
        // Asked for with one on the cores; with the two that followed and one more the four cores are full.
        around.backend.gauges(around.now, new double[] {0, 1});
        around.take("look", null, "d");
        around.take("look", null, "e");
        assertEquals(4, around.asked.size());
    }

    @Example
    void aCallIsGivenUpWhenItsCallerGoesOrItsTimeIsOver() {
        BackendFixture around = new BackendFixture();
        String gone = around.take("look", null, "a");
        String late = around.take("look", null, "b");
        around.calls(gone);
        around.calls(late);
        around.backend.callerGone(around.now, around.taken.get(gone));
        around.after(1100);
        assertEquals(1, around.times("give up " + gone));
        assertEquals(1, around.times("give up " + late));
        assertEquals("broken off", around.answer(late));
        around.replied(late, Outcome.OK);
        assertEquals(0, around.times("deliver " + late));
    }

    /** The seam to what lies below: an answer may come within the asking, and is all that the core hears of a service that is away. */
    @Example
    void aCallMayBeAnsweredWhileItIsMade() {
        BackendFixture around = new BackendFixture();
        List<String> made = new ArrayList<>();
        for (Outcome how : List.of(Outcome.OK, Outcome.UNREACHABLE, Outcome.REJECTED)) {
            around.below = new DownstreamService() {
                @Override
                public void call(TrackedRequest operation, byte[] body, Duration within) {
                    assertTrue(body.length == 1 && within.toMillis() == 1000, "the body and the time that is left");
                    made.add(how + " " + operation.name());
                    around.backend.callEnded(around.now, operation.id(), how, new byte[] {2});
                }

                @Override
                public void giveUp(TrackedRequest operation) {
                    made.add("given up " + operation.name());
                }
            };
            String name = around.take("look", null, "a");
            around.calls(name);
            assertEquals(how == Outcome.OK ? 1 : 0, around.times("deliver " + name), how + ": " + around.asked);
            assertEquals(how == Outcome.UNREACHABLE ? 2 : 1, made.size(), "made again only where none got through");
            if (how != Outcome.OK) {
                assertEquals("broken off", around.answer(name));
            }
            made.clear();
        }
    }

    /** What was sent on a link that broke is sent again, and only that; a reply that was taken is not sent twice. */
    @Example
    void afterALostLinkOnlyWhatIsInDoubtIsSentAgain() {
        BackendFixture around = new BackendFixture();
        String old = around.take("look", null, "a");
        around.calls(old);
        around.replied(old, Outcome.OK);
        around.after(100);
        Duration lastHeard = around.now;
        String ended = around.take("look", null, "b");
        String doubtful = around.take("look", null, "c");
        around.calls(doubtful);
        String calling = around.take("look", null, "d");
        around.calls(calling);
        around.backend.linkLost(lastHeard);
        around.replied(doubtful, Outcome.OK);
        String without = around.take("buy", "t", "e");
        around.after(50);
        around.backend.linkBack(around.now);
        around.ends(ended, Outcome.OK, "done");
        around.asked.clear();
        around.replied(calling, Outcome.OK);
        around.backend.caughtUp(around.now);
        assertEquals(List.of("deliver " + calling, "deliver " + doubtful, "launch " + without), around.asked);
        around.asked.clear();
        around.backend.caughtUp(around.now);
        assertEquals(List.of(), around.asked);
    }

    /** What left up to 50 ms before the break may be lost with the link, even where the link was heard of until then. */
    @Example
    void aReplyThatLeftShortlyBeforeTheBreakIsSentAgain() {
        BackendFixture around = new BackendFixture();
        String a = around.take("look", null, "a");
        around.calls(a);
        around.replied(a, Outcome.OK);
        around.after(45);
        around.backend.linkLost(around.now);
        around.backend.linkBack(around.now.plusMillis(1));
        around.backend.caughtUp(around.now);
        assertEquals(2, around.times("deliver " + a));
    }

    /** An outcome that can no longer be learned: answered, and a mark of it is never run again. */
    @Example
    void runsWhoseNoticesWereMissedAreBrokenOffAndNotBegunAgain() {
        BackendFixture around = new BackendFixture();
        String a = around.take("buy", "t", "a");
        around.backend.noticesMissed(around.now);
        around.settle();
        assertEquals("broken off", around.answer(a));
        assertEquals("broken off", around.answer(around.take("buy", "t", "a")));
        assertEquals(1, around.asked.size());
    }

    @Example
    void allIsAnsweredBeforeTheStopAndNothingPastTheGraceIsRun() {
        BackendFixture around = new BackendFixture();
        String running = around.take("buy", "t", "a");
        around.backend.leave(around.now, around.now.plusMillis(900));
        around.settle();
        around.after(600);
        String late = around.take("look", null, "b");
        assertEquals("pushed back", around.answer(late));
        around.after(290);
        assertEquals("broken off", around.answer(running));
        assertEquals(0, around.backend.inHand());
        assertEquals(List.of("launch " + running, "freeze " + running), around.asked);
    }

    @Example
    void deepChecksShareOneExerciseWhichALostLinkDoesNotSpoil() {
        BackendFixture around = new BackendFixture();
        List<Boolean> heard = new ArrayList<>();
        around.backend.checkDeeply(heard::add);
        around.backend.checkDeeply(heard::add);
        assertEquals(1, around.times("exercise"));
        around.backend.exercised(true);
        assertEquals(List.of(true, true), heard);
        around.backend.checkDeeply(heard::add);
        around.backend.linkLost(around.now);
        around.backend.linkBack(around.now);
        around.backend.caughtUp(around.now);
        assertEquals(List.of(true, true), heard);
        around.backend.exercised(false);
        assertEquals(List.of(true, true, false), heard);
    }

    @Example
    void beforeTheAgentIsUpAllIsPushedBackAndHealthIsBad() {
        BackendFixture around = new BackendFixture();
        Backend early = new Backend(BackendFixture.GIVEN, 5, around);
        List<Boolean> checked = new ArrayList<>();
        early.checkDeeply(checked::add);
        assertFalse(early.healthy() || checked.get(0));
        assertEquals(null, early.arrived(Duration.ZERO, null, new ResponseSink() {
            @Override
            public void satisfied(byte[] result) {}

            @Override
            public void pushedBack(boolean nowhereElse, Duration stayAway) {
                checked.add(true);
            }

            @Override
            public void brokenOff() {}
        }));
        assertEquals(2, checked.size());
    }

    /** Whatever happens in whatever order: one answer in time, no mark run twice, no result that no run made. */
    @Property(tries = 60, seed = "41")
    void theRulesHoldOnRandomDays(@ForAll long seed) {
        BackendFixture around = new BackendFixture();
        SplittableRandom chance = new SplittableRandom(seed);
        Map<String, String> tokens = new HashMap<>();
        Map<String, Duration> due = new HashMap<>();
        Set<String> gone = new HashSet<>();
        Set<String> over = new HashSet<>();
        boolean linked = true;
        for (int step = 0; step < 400; step++) {
            List<String> running = around.asked.stream()
                    .filter(w -> w.startsWith("launch "))
                    .map(w -> w.substring(7))
                    .distinct()
                    .filter(n -> !over.contains(n))
                    .toList();
            String some = running.isEmpty() ? null : running.get(chance.nextInt(running.size()));
            int what = chance.nextInt(10);
            if (what < 3) {
                String token = chance.nextInt(3) == 0 ? null : "t" + chance.nextInt(12);
                String name = around.take(token == null ? "look" : "buy", token, "a");
                tokens.put(name, String.valueOf(token));
                due.put(name, around.now.plusMillis(1000));
            } else if (what == 3 && some != null) {
                around.calls(some);
            } else if (what == 4 && some != null) {
                around.replied(some, Outcome.values()[chance.nextInt(6)]);
            } else if (what < 7 && some != null && linked) {
                over.add(some);
                around.ends(some, chance.nextInt(4) == 0 ? Outcome.ERROR : Outcome.OK, tokens.get(some));
            } else if (what == 7 && some != null && chance.nextBoolean()) {
                if (around.answers.get(some).isEmpty()) {
                    gone.add(some);
                }
                around.backend.callerGone(around.now, around.taken.get(some));
            } else if (what == 8 && chance.nextInt(4) == 0) {
                if (linked) {
                    around.backend.linkLost(around.now);
                } else {
                    around.backend.linkBack(around.now);
                    around.backend.caughtUp(around.now);
                }
                linked = !linked;
            } else {
                around.after(chance.nextInt(120));
            }
            Duration now = around.now;
            around.answers.forEach((name, heard) -> {
                assertTrue(heard.size() <= 1, name + " " + heard);
                assertTrue(heard.size() == 1
                        || gone.contains(name)
                        || now.compareTo(due.get(name).plusMillis(20)) <= 0);
                assertTrue(
                        heard.isEmpty()
                                || !heard.get(0).startsWith("satisfied")
                                || heard.get(0).equals("satisfied " + tokens.get(name)),
                        name);
            });
        }
        Map<String, Set<String>> runs = new HashMap<>();
        around.asked.stream()
                .filter(w -> w.startsWith("launch "))
                .map(w -> w.substring(7))
                .filter(n -> !tokens.get(n).equals("null"))
                .forEach(n -> runs.computeIfAbsent(tokens.get(n), t -> new HashSet<>())
                        .add(n));
        // The windows of one mark's runs do not overlap.
        runs.values().forEach(names -> {
            List<Duration> at = names.stream()
                    .map(n -> due.get(n).minusMillis(1000))
                    .sorted()
                    .toList();
            for (int i = 1; i < at.size(); i++) {
                assertTrue(at.get(i).minus(at.get(i - 1)).toMillis() > 5000, "" + at);
            }
        });
    }
}
