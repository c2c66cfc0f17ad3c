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

/** Visits every reachable state of three voters and two leaders that want to write two values to one register. */
class PaxosModelCheckTest {

    private static final String REGISTER = "end";
    private static final int VOTERS = 3;
    private static final int LEADERS = 2;
    /** Index 0 stands for no value; leader i wants the value i + 1. */
    private static final List<String> VALUES = List.of("", "x", "y");

    /** Faults of an implementation that the check has to find. */
    private enum PlantedFault {
        NONE,
        ANSWER_BEFORE_WRITE,
        SKIP_PREPARE,
        ACCEPT_LOWER_TERM
    }

    /**
     * A state of the model. Memories and disks are indices of distinct acceptor states, answers are bit masks of distinct answers
     * ({@link ModelCheck}).
     *
     * @param memory0 the first voter's state in memory
     * @param disk0 the first voter's state on disk
     * @param waiting0 the first voter's answers that wait for its disk
     * @param sent all answers ever sent; each may arrive at any time, any number of times or never
     * @param value1 what the leader of the first term proposes
     */
    private record State(
            int memory0,
            int memory1,
            int memory2,
            int disk0,
            int disk1,
            int disk2,
            long waiting0,
            long waiting1,
            long waiting2,
            long sent,
            int value1,
            int value2) {

        int memory(int voter) {
            return voter == 0 ? memory0 : voter == 1 ? memory1 : memory2;
        }

        int disk(int voter) {
            return voter == 0 ? disk0 : voter == 1 ? disk1 : disk2;
        }

        long waiting(int voter) {
            return voter == 0 ? waiting0 : voter == 1 ? waiting1 : waiting2;
        }

        int value(int leader) {
            return leader == 0 ? value1 : value2;
        }

        State withVoter(int voter, int memory, int disk, long waiting, long newlySent) {
            return new State(
                    voter == 0 ? memory : memory0,
                    voter == 1 ? memory : memory1,
                    voter == 2 ? memory : memory2,
                    voter == 0 ? disk : disk0,
                    voter == 1 ? disk : disk1,
                    voter == 2 ? disk : disk2,
                    voter == 0 ? waiting : waiting0,
                    voter == 1 ? waiting : waiting1,
                    voter == 2 ? waiting : waiting2,
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
                    waiting0,
                    waiting1,
                    waiting2,
                    sent,
                    leader == 0 ? value : value1,
                    leader == 1 ? value : value2);
        }
    }

    /** What a leader asks a voter: to promise its term, or to accept the value under it. */
    private record Question(int term, String value) {
        boolean isPrepare() {
            return value.isEmpty();
        }
    }

    /**
     * A voter's answer.
     *
     * @param promise whether it answers a prepare, with what the voter has accepted
     */
    private record Answer(int voter, int term, boolean promise, long acceptedTerm, Optional<String> acceptedValue) {

        Stream<RegisterState> acceptedState() {
            return acceptedValue.stream().map(value -> new RegisterState(REGISTER, acceptedTerm, bytes(value), false));
        }
    }

    /** What a voter does with a question: its memory afterwards, and its answer unless it rejects. */
    private record Reaction(String memory, Optional<Answer> answer) {}

    private record ReactionKey(int voter, String memory, Question question) {}

    /** How many states were visited, and in how many a value was chosen. */
    private record Result(int states, int chosen) {}

    /** Numbers distinct items in the order of their first appearance. */
    private static final class Numbering<T> {
        private final List<T> items = new ArrayList<>();
        private final Map<T, Integer> indices = new HashMap<>();

        int indexOf(T item) {
            Integer known = indices.putIfAbsent(item, items.size());
            if (known == null) {
                items.add(item);
                return items.size() - 1;
            }
            return known;
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
        private final PlantedFault fault;
        private final Numbering<String> memories = new Numbering<>();
        private final Numbering<Answer> answers = new Numbering<>();
        private final Map<ReactionKey, Reaction> reactions = new HashMap<>();

        ModelCheck(PlantedFault fault) {
            this.fault = fault;
            memories.indexOf(encode(new PaxosAcceptor()));
        }

        /** Throws an AssertionError if there is a state in which two values are chosen. */
        Result run() {
            boolean skip = fault == PlantedFault.SKIP_PREPARE;
            State first = new State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, skip ? 1 : 0, skip ? 2 : 0);
            Set<State> visited = new HashSet<>(Set.of(first));
            ArrayDeque<State> open = new ArrayDeque<>(List.of(first));
            int chosen = 0;
            while (!open.isEmpty()) {
                State state = open.poll();
                chosen += isChosen(state) ? 1 : 0;
                successors(state).stream().filter(visited::add).forEach(open::add);
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
            assertFalse(first && second && state.value1 != state.value2, "two values are written");
            return first || second;
        }

        private List<State> successors(State state) {
            List<State> successors = new ArrayList<>();
            for (int voter = 0; voter < VOTERS; voter++) {
                int memory = state.memory(voter);
                if (memory != state.disk(voter) || state.waiting(voter) != 0) {
                    // Its write completes, or it crashes before.
                    successors.add(state.withVoter(voter, memory, memory, 0, state.waiting(voter)));
                    successors.add(state.withVoter(voter, state.disk(voter), state.disk(voter), 0, 0));
                } else {
                    // A question that arrives during a write has the same effect as one after it: either may be lost.
                    addReactions(state, voter, successors);
                }
            }
            for (int leader = 0; leader < LEADERS; leader++) {
                if (state.value(leader) == 0) {
                    addProposals(state, leader, successors);
                }
            }
            return successors;
        }

        private void addReactions(State state, int voter, List<State> successors) {
            for (int leader = 0; leader < LEADERS; leader++) {
                int value = state.value(leader);
                List<Question> questions = new ArrayList<>(List.of(new Question(leader + 1, "")));
                if (value != 0) {
                    questions.add(new Question(leader + 1, VALUES.get(value)));
                }
                for (Question question : questions) {
                    Reaction reaction = react(voter, memories.get(state.memory(voter)), question);
                    long answer = reaction.answer
                            .map(given -> 1L << answers.indexOf(given))
                            .orElse(0L);
                    boolean early = fault == PlantedFault.ANSWER_BEFORE_WRITE;
                    successors.add(state.withVoter(
                            voter,
                            memories.indexOf(reaction.memory),
                            state.disk(voter),
                            state.waiting(voter) | (early ? 0 : answer),
                            early ? answer : 0));
                }
            }
        }

        /** A leader that has the promises of two voters proposes a value that is safe. */
        private void addProposals(State state, int leader, List<State> successors) {
            List<Answer> promises = sentAnswers(state, leader, true);
            for (Answer one : promises) {
                for (Answer other : promises) {
                    if (one.voter < other.voter) {
                        List<RegisterState> reported = Stream.concat(one.acceptedState(), other.acceptedState())
                                .toList();
                        byte[] safe = PaxosAcceptor.safeValue(reported, bytes(VALUES.get(leader + 1)));
                        successors.add(state.withProposal(leader, VALUES.indexOf(text(safe))));
                    }
                }
            }
        }

        private Reaction react(int voter, String memory, Question question) {
            return reactions.computeIfAbsent(
                    new ReactionKey(voter, memory, question),
                    missing -> question.isPrepare()
                            ? reactToPrepare(voter, memory, question.term)
                            : reactToAccept(voter, memory, question));
        }

        private static Reaction reactToPrepare(int voter, String memory, int term) {
            PaxosAcceptor acceptor = decode(memory);
            boolean promised = acceptor.promise(term);
            Optional<RegisterState> accepted = acceptor.get(REGISTER);
            Answer promise = new Answer(
                    voter,
                    term,
                    true,
                    accepted.map(RegisterState::acceptedTerm).orElse(0L),
                    accepted.map(state -> text(state.value())));
            return new Reaction(encode(acceptor), promised ? Optional.of(promise) : Optional.empty());
        }

        private Reaction reactToAccept(int voter, String memory, Question question) {
            PaxosAcceptor acceptor = decode(memory);
            if (fault == PlantedFault.ACCEPT_LOWER_TERM && question.term < acceptor.promisedTerm()) {
                PaxosAcceptor careless = new PaxosAcceptor();
                careless.mergePeerState(0, acceptor.registers());
                acceptor = careless;
            }
            String after = acceptor.accept(question.term, REGISTER, bytes(question.value)) ? encode(acceptor) : memory;
            boolean rejected = encode(acceptor).equals(memory) && acceptor.promisedTerm() > question.term;
            Answer accepted = new Answer(voter, question.term, false, 0, Optional.empty());
            return new Reaction(after, rejected ? Optional.empty() : Optional.of(accepted));
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
        Result result = new ModelCheck(PlantedFault.NONE).run();
        assertTrue(result.states > 400_000 && result.chosen > 300_000, result.toString());
    }

    @Test
    void eachPlantedFaultIsFound() {
        for (PlantedFault fault :
                List.of(PlantedFault.ANSWER_BEFORE_WRITE, PlantedFault.SKIP_PREPARE, PlantedFault.ACCEPT_LOWER_TERM)) {
            boolean found = false;
            try {
                new ModelCheck(fault).run();
            } catch (AssertionError e) {
                found = e.getMessage().startsWith("two values are written");
            }
            assertTrue(found, fault + " is not found");
        }
    }
}
