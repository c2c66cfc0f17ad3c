package merlinlever.replication;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Walks every state of three voters and two leaders that want two values. */
class PaxosModelCheckTest {

    private enum Fault {
        NONE,
        ANSWER_BEFORE_FORCE,
        SKIP_ASKING,
        ACCEPT_OLDER
    }

    /** Of each voter memory, disk and answers that wait for it; all answers ever sent; the value of each term. By their numbers in {@link Walk}. */
    private record State(
            int m0,
            int m1,
            int m2,
            int d0,
            int d1,
            int d2,
            long w0,
            long w1,
            long w2,
            long net,
            int value1,
            int value2) {
        int memory(int v) {
            return v == 0 ? m0 : v == 1 ? m1 : m2;
        }

        int disk(int v) {
            return v == 0 ? d0 : v == 1 ? d1 : d2;
        }

        long waiting(int v) {
            return v == 0 ? w0 : v == 1 ? w1 : w2;
        }

        State with(int v, int memory, int disk, long waits, long sent) {
            return new State(
                    v == 0 ? memory : m0,
                    v == 1 ? memory : m1,
                    v == 2 ? memory : m2,
                    v == 0 ? disk : d0,
                    v == 1 ? disk : d1,
                    v == 2 ? disk : d2,
                    v == 0 ? waits : w0,
                    v == 1 ? waits : w1,
                    v == 2 ? waits : w2,
                    net | sent,
                    value1,
                    value2);
        }

        State proposed(int t, int value) {
            return new State(m0, m1, m2, d0, d1, d2, w0, w1, w2, net, t == 0 ? value : value1, t == 1 ? value : value2);
        }
    }

    private static PaxosAcceptor ballots(String text) {
        return PaxosAcceptor.parsed(PaxosNodeTest.octets(text));
    }

    private static String text(PaxosAcceptor ballots) {
        return new String(ballots.octets(), StandardCharsets.ISO_8859_1);
    }

    /** What a voter does when it is asked (its memory after it, and the answer or an empty one); worked out once for each. */
    private static String[] answered(
            Map<String, String[]> known, Fault fault, String memory, String ask, String value) {
        return known.computeIfAbsent(memory + ask + value, none -> {
            PaxosAcceptor voter = ballots(memory);
            int term = ask.charAt(1) - '0';
            if (ask.charAt(0) == 'P') {
                boolean promises = voter.promise(term);
                PaxosAcceptor.RegisterState entry = voter.get("end");
                return new String[] {
                    text(voter),
                    promises
                            ? "R" + term
                                    + (entry == null
                                            ? "0-"
                                            : entry.term() + new String(entry.value(), StandardCharsets.US_ASCII))
                            : ""
                };
            }
            if (fault == Fault.ACCEPT_OLDER && term < voter.promised()) {
                PaxosAcceptor careless = new PaxosAcceptor();
                careless.recovered(0, voter.entries());
                voter = careless;
            }
            return new String[] {
                voter.accept(term, "end", PaxosNodeTest.octets(value)) ? text(voter) : memory,
                text(voter).equals(memory) && voter.promised() > term ? "" : "A" + term
            };
        });
    }

    private static int number(List<String> all, String one) {
        if (!all.contains(one)) {
            all.add(one);
        }
        return all.indexOf(one);
    }

    /** Walks them all; says how many there are and in how many a value was written, and throws where two are. */
    private static int[] walk(Fault fault) {
        List<String> memories = new ArrayList<>(List.of(text(new PaxosAcceptor())));
        List<String> answers = new ArrayList<>();
        List<String> values = List.of("", "x", "y");
        Map<String, String[]> known = new HashMap<>();
        State first = new State(
                0, 0, 0, 0, 0, 0, 0, 0, 0, 0, fault == Fault.SKIP_ASKING ? 1 : 0, fault == Fault.SKIP_ASKING ? 2 : 0);
        Set<State> seen = new HashSet<>(Set.of(first));
        ArrayDeque<State> open = new ArrayDeque<>(List.of(first));
        int written = 0;
        while (!open.isEmpty()) {
            State state = open.poll();
            List<State> then = new ArrayList<>();
            int[] value = {state.value1, state.value2};
            List<List<String>> told = List.of(new ArrayList<>(), new ArrayList<>());
            int[] accepted = new int[2];
            for (int i = 0; i < answers.size(); i++) {
                if ((state.net >>> i & 1) == 1) {
                    int t = answers.get(i).charAt(1) - '1';
                    accepted[t] += answers.get(i).charAt(0) == 'A' ? 1 : 0;
                    if (answers.get(i).charAt(0) == 'R') {
                        told.get(t).add(answers.get(i));
                    }
                }
            }
            written += accepted[0] > 1 || accepted[1] > 1 ? 1 : 0;
            assertFalse(accepted[0] > 1 && accepted[1] > 1 && value[0] != value[1], "two values are written");
            for (int v = 0; v < 3; v++) {
                int memory = state.memory(v);
                if (memory != state.disk(v) || state.waiting(v) != 0) {
                    then.add(state.with(v, memory, memory, 0, state.waiting(v)));
                    then.add(state.with(v, state.disk(v), state.disk(v), 0, 0));
                }
                // What is taken while another waits for the disk comes to what is taken after it, as either is lost or
                // not.
                for (int t = 0; t < 2 && state.waiting(v) == 0 && memory == state.disk(v); t++) {
                    for (String ask : value[t] == 0 ? List.of("P" + (t + 1)) : List.of("P" + (t + 1), "A" + (t + 1))) {
                        String[] does = answered(known, fault, memories.get(memory), ask, values.get(value[t]));
                        long answer = does[1].isEmpty() ? 0 : 1L << number(answers, does[1] + v);
                        boolean early = fault == Fault.ANSWER_BEFORE_FORCE;
                        then.add(state.with(
                                v,
                                number(memories, does[0]),
                                state.disk(v),
                                state.waiting(v) | (early ? 0 : answer),
                                early ? answer : 0));
                    }
                }
            }
            for (int t = 0; t < 2; t++) {
                for (String one : told.get(t)) {
                    for (String other : told.get(t)) {
                        if (value[t] == 0 && one.charAt(4) < other.charAt(4)) {
                            byte[] safe = PaxosAcceptor.safe(
                                    List.of(entry(one), entry(other)), PaxosNodeTest.octets(values.get(t + 1)));
                            then.add(state.proposed(t, values.indexOf(new String(safe, StandardCharsets.US_ASCII))));
                        }
                    }
                }
            }
            then.stream().filter(seen::add).forEach(open::add);
        }
        assertTrue(answers.size() < 60);
        return new int[] {seen.size(), written};
    }

    private static PaxosAcceptor.RegisterState entry(String told) {
        return new PaxosAcceptor.RegisterState(
                "end",
                told.charAt(2) - '0',
                told.charAt(3) == '-' ? null : PaxosNodeTest.octets(told.substring(3, 4)),
                false);
    }

    @Example
    void inNoReachableStateAreTwoValuesWritten() {
        int[] counts = walk(Fault.NONE);
        assertTrue(counts[0] > 400_000 && counts[1] > 300_000, Arrays.toString(counts));
    }

    @Example
    void eachPlantedFaultIsFoundByTheSameWalk() {
        for (Fault fault : List.of(Fault.ANSWER_BEFORE_FORCE, Fault.SKIP_ASKING, Fault.ACCEPT_OLDER)) {
            boolean found = false;
            try {
                walk(fault);
            } catch (AssertionError e) {
                found = e.getMessage().startsWith("two values are written");
            }
            assertTrue(found, fault + " is not found");
        }
    }
}
