package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static merlinlever.fleet.replication.ReplicationFixture.text;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Visits all reachable states of three voters and of two leaders that propose different values for one register. */
class PaxosModelCheckTest {

    private static final String REGISTER = "end";
    private static final int VOTERS = 3;
    private static final int LEADERS = 2;
    /** Values by index: 0 stands for no value; leader i proposes the value i + 1 if it is free to choose. */
    private static final List<String> VALUES = List.of("", "x", "y");

    /** Implementation faults that the check has to detect. */
    private enum InjectedFault {
        NONE,
        ANSWER_BEFORE_WRITE,
        SKIP_PREPARE,
        ACCEPT_LOWER_TERM
    }

    /**
     * A state of the model. Memories and disks are indices of distinct acceptor states; answers are bit masks of
     * indices of distinct answers ({@link ModelCheck}).
     *
     * @param memory0 the first voter's state in memory
     * @param disk0 the first voter's state on disk
     * @param pending0 the first voter's answers that are held back until its disk is written
     * @param sent all answers ever sent; each may arrive at any time, any number of times or never
     * @param value1 index of the value that the leader of the first term proposes
     */
    private record State(
            int memory0,
            int memory1,
            int memory2,
            int disk0,
            int disk1,
            int disk2,
            long pending0,
            long pending1,
            long pending2,
            long sent,
            int value1,
            int value2) {

        int memory(int voter) {
            return voter == 0 ? memory0 : voter == 1 ? memory1 : memory2;
        }

        int disk(int voter) {
            return voter == 0 ? disk0 : voter == 1 ? disk1 : disk2;
        }

        long pending(int voter) {
            return voter == 0 ? pending0 : voter == 1 ? pending1 : pending2;
        }

        int value(int leader) {
            return leader == 0 ? value1 : value2;
        }

        State withVoter(int voter, int memory, int disk, long pending, long newlySent) {
            return new State(
                    voter == 0 ? memory : memory0,
                    voter == 1 ? memory : memory1,
                    voter == 2 ? memory : memory2,
                    voter == 0 ? disk : disk0,
                    voter == 1 ? disk : disk1,
                    voter == 2 ? disk : disk2,
                    voter == 0 ? pending : pending0,
                    voter == 1 ? pending : pending1,
                    voter == 2 ? pending : pending2,
                    sent | newlySent,
                    value1,
                    value2);
        }

        State withProposal(int leader, int value) {
            return new State(
                    memory0,
                    memory1,
                    memory2,
                    disk0,
                    disk1,
                    disk2,
                    pending0,
                    pending1,
                    pending2,
                    sent,
                    leader == 0 ? value : value1,
                    leader == 1 ? value : value2);
        }
    }

    /** A leader's request to a voter: to promise the term, or to accept the value under the term. */
    private record VoterRequest(int term, String value) {
        boolean isPrepare() {
            return value.isEmpty();
        }
    }

    /**
     * A voter's answer.
     *
     * @param promise whether the answer is a promise, which contains the value that the voter has accepted
     */
    private record Answer(int voter, int term, boolean promise, long acceptedTerm, Optional<String> acceptedValue) {

        Stream<RegisterState> acceptedState() {
            return acceptedValue.stream().map(value -> new RegisterState(REGISTER, acceptedTerm, bytes(value), false));
        }
    }

    /** A voter's handling of a request: its memory afterwards, and its answer unless it rejects the request. */
    private record Transition(String memory, Optional<Answer> answer) {}

    private record TransitionKey(int voter, String memory, VoterRequest request) {}

    /** Number of visited states, and of those in which a value is chosen. */
    private record Result(int states, int chosen) {}

    /** Assigns indices to distinct items in the order of their first appearance. */
    private static final class Numbering<T> {
        private final List<T> items = new ArrayList<>();
        private final Map<T, Integer> indices = new HashMap<>();

        int indexOf(T item) {
            Integer existing = indices.putIfAbsent(item, items.size());
            if (existing == null) {
                items.add(item);
                return items.size() - 1;
            }
            return existing;
        }

        T get(int index) {
            return items.get(index);
        }

        int size() {
            return items.size();
        }
    }

    /** Breadth-first search over all states. */
    private static final class ModelCheck {
        private final InjectedFault fault;
        private final Numbering<String> memories = new Numbering<>();
        private final Numbering<Answer> answers = new Numbering<>();
        private final Map<TransitionKey, Transition> transitions = new HashMap<>();

        ModelCheck(InjectedFault fault) {
            this.fault = fault;
            memories.indexOf(encode(new PaxosAcceptor()));
        }

        /** Fails with an AssertionError if two values are chosen in any state. */
        Result run() {
            boolean skip = fault == InjectedFault.SKIP_PREPARE;
            State first = new State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, skip ? 1 : 0, skip ? 2 : 0);
            Set<State> visited = new HashSet<>(Set.of(first));
            ArrayDeque<State> queue = new ArrayDeque<>(List.of(first));
            int chosen = 0;
            while (!queue.isEmpty()) {
                State state = queue.poll();
                chosen += isChosen(state) ? 1 : 0;
                successors(state).stream().filter(visited::add).forEach(queue::add);
            }
            assertTrue(answers.size() < 60);
            return new Result(visited.size(), chosen);
        }

        private List<Answer> sentAnswers(State state, int leader, boolean promise) {
            List<Answer> sent = new ArrayList<>();
            for (int i = 0; i < answers.size(); i++) {
                Answer answer = answers.get(i);
                if (((state.sent >>> i) & 1) == 1 && answer.term == leader + 1 && answer.promise == promise) {
                    sent.add(answer);
                }
            }
            return sent;
        }

        private boolean isChosen(State state) {
            boolean first = sentAnswers(state, 0, false).size() > VOTERS / 2;
            boolean second = sentAnswers(state, 1, false).size() > VOTERS / 2;
            assertFalse(first && second && state.value1 != state.value2, "two values are chosen");
            return first || second;
        }

        private List<State> successors(State state) {
            List<State> successors = new ArrayList<>();
            for (int voter = 0; voter < VOTERS; voter++) {
                int memory = state.memory(voter);
                if (memory != state.disk(voter) || state.pending(voter) != 0) {
                    // The voter's write completes, or the voter crashes before the completion.
                    successors.add(state.withVoter(voter, memory, memory, 0, state.pending(voter)));
                    successors.add(state.withVoter(voter, state.disk(voter), state.disk(voter), 0, 0));
                } else {
                    // A request during a write needs no transition: its effect is that of a request after the write.
                    addVoterTransitions(state, voter, successors);
                }
            }
            for (int leader = 0; leader < LEADERS; leader++) {
                if (state.value(leader) == 0) {
                    addProposals(state, leader, successors);
                }
            }
            return successors;
        }

        private void addVoterTransitions(State state, int voter, List<State> successors) {
            for (int leader = 0; leader < LEADERS; leader++) {
                int value = state.value(leader);
                List<VoterRequest> requests = new ArrayList<>(List.of(new VoterRequest(leader + 1, "")));
                if (value != 0) {
                    requests.add(new VoterRequest(leader + 1, VALUES.get(value)));
                }
                for (VoterRequest request : requests) {
                    Transition transition = transitionOf(voter, memories.get(state.memory(voter)), request);
                    long answer = transition
                            .answer
                            .map(sentAnswer -> 1L << answers.indexOf(sentAnswer))
                            .orElse(0L);
                    boolean sendsBeforeWrite = fault == InjectedFault.ANSWER_BEFORE_WRITE;
                    successors.add(state.withVoter(
                            voter,
                            memories.indexOf(transition.memory),
                            state.disk(voter),
                            state.pending(voter) | (sendsBeforeWrite ? 0 : answer),
                            sendsBeforeWrite ? answer : 0));
                }
            }
        }

        /** Adds the states in which a leader with the promises of two voters proposes a safe value. */
        private void addProposals(State state, int leader, List<State> successors) {
            List<Answer> promises = sentAnswers(state, leader, true);
            for (Answer firstPromise : promises) {
                for (Answer secondPromise : promises) {
                    if (firstPromise.voter < secondPromise.voter) {
                        List<RegisterState> reported = Stream.concat(
                                        firstPromise.acceptedState(), secondPromise.acceptedState())
                                .toList();
                        byte[] safe = PaxosAcceptor.safeValue(reported, bytes(VALUES.get(leader + 1)));
                        successors.add(state.withProposal(leader, VALUES.indexOf(text(safe))));
                    }
                }
            }
        }

        private Transition transitionOf(int voter, String memory, VoterRequest request) {
            return transitions.computeIfAbsent(
                    new TransitionKey(voter, memory, request),
                    missing -> request.isPrepare()
                            ? handlePrepare(voter, memory, request.term)
                            : handleAccept(voter, memory, request));
        }

        private static Transition handlePrepare(int voter, String memory, int term) {
            PaxosAcceptor acceptor = decode(memory);
            boolean promised = acceptor.promise(term);
            Optional<RegisterState> accepted = acceptor.get(REGISTER);
            Answer promise = new Answer(
                    voter,
                    term,
                    true,
                    accepted.map(RegisterState::acceptedTerm).orElse(0L),
                    accepted.map(state -> text(state.value())));
            return new Transition(encode(acceptor), promised ? Optional.of(promise) : Optional.empty());
        }

        private Transition handleAccept(int voter, String memory, VoterRequest request) {
            PaxosAcceptor acceptor = decode(memory);
            if (fault == InjectedFault.ACCEPT_LOWER_TERM && request.term < acceptor.promisedTerm()) {
                PaxosAcceptor withoutPromise = new PaxosAcceptor();
                withoutPromise.mergePeerState(0, acceptor.registers());
                acceptor = withoutPromise;
            }
            String after = acceptor.accept(request.term, REGISTER, bytes(request.value)) ? encode(acceptor) : memory;
            boolean rejected = encode(acceptor).equals(memory) && acceptor.promisedTerm() > request.term;
            Answer accepted = new Answer(voter, request.term, false, 0, Optional.empty());
            return new Transition(after, rejected ? Optional.empty() : Optional.of(accepted));
        }

        private static PaxosAcceptor decode(String memory) {
            return PaxosAcceptor.decode(bytes(memory)).orElseThrow();
        }

        private static String encode(PaxosAcceptor acceptor) {
            return text(acceptor.encode());
        }
    }

    @Test
    void noReachableStateHasTwoChosenValues() {
        Result result = new ModelCheck(InjectedFault.NONE).run();
        assertTrue(result.states > 400_000 && result.chosen > 300_000, result.toString());
    }

    @Test
    void eachInjectedFaultIsDetected() {
        for (InjectedFault fault : List.of(
                InjectedFault.ANSWER_BEFORE_WRITE, InjectedFault.SKIP_PREPARE, InjectedFault.ACCEPT_LOWER_TERM)) {
            boolean detected = false;
            try {
                new ModelCheck(fault).run();
            } catch (AssertionError e) {
                detected = e.getMessage().startsWith("two values are chosen");
            }
            assertTrue(detected, fault + " is not detected");
        }
    }
}
