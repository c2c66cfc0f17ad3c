package merlinlever.fleet.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Explores the reachable states of two backends and successive leaders up to a maximum depth. Every message is
 * delivered at any later time, any number of times or never.
 */
class LeaseModelCheckTest {

    private static final int MAX_DEPTH = 9;
    private static final int BACKENDS = 2;
    private static final int LEADERSHIPS = 2;

    private static final FleetQuota QUOTA = new FleetQuota(
            "calls",
            "calls",
            2,
            FleetQuota.QuotaKind.PER_SECOND,
            Duration.ofSeconds(2),
            0,
            Duration.ofSeconds(1),
            Map.of());

    /** Amounts that the two backends could use at one time. */
    private record Sample(Duration at, long first, long second) {}

    /** A state of the system. Actions are {@code tick}, {@code lead}, {@code ask/BACKEND} and every sent message. */
    private static final class SystemState {
        Duration now = Duration.ZERO;
        final List<LeaseLedger> ledgers = new ArrayList<>(List.of(new LeaseLedger(Duration.ofSeconds(-3), QUOTA)));
        final List<QuotaLease> leases = List.of(new QuotaLease(QUOTA, 0), new QuotaLease(QUOTA, 0));
        final TreeSet<String> network = new TreeSet<>();

        long available(int backend) {
            return leases.get(backend).available(now);
        }

        /** Performs the action; returns false if the action is not possible in this state. */
        boolean apply(String action) {
            String[] fields = action.split("/");
            return switch (fields[0]) {
                case "tick" -> {
                    now = now.plusSeconds(1);
                    yield true;
                }
                case "lead" -> startLeadership();
                case "ask" -> {
                    request(Integer.parseInt(fields[1]));
                    yield true;
                }
                case "Q" -> deliverRequest(fields);
                default -> deliverGrant(fields);
            };
        }

        private boolean startLeadership() {
            if (ledgers.size() == LEADERSHIPS) {
                return false;
            }
            ledgers.add(new LeaseLedger(now, QUOTA));
            return true;
        }

        private void request(int backend) {
            QuotaLease.RenewalRequest request = leases.get(backend)
                    .requestRenewal(now, ledgers.size(), 0, 1 + backend)
                    .orElseThrow();
            network.add("Q/" + backend + "/" + ledgers.size() + "/" + request.correlationId() + "/"
                    + request.currentGrant() + "/" + request.held());
        }

        private boolean deliverRequest(String[] fields) {
            int term = Integer.parseInt(fields[2]);
            // Leader election ensures that a former leader does not answer.
            if (term != ledgers.size()) {
                return false;
            }
            LeaseRequest request = new LeaseRequest(
                    "b" + fields[1],
                    1,
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]),
                    0,
                    1 + Integer.parseInt(fields[1]));
            LeaseGrant grant = ledgers.get(term - 1).grant(now, request).orElseThrow();
            network.add("G/" + fields[1] + "/" + term + "/" + fields[3] + "/" + grant.number() + "/" + grant.amount());
            return true;
        }

        private boolean deliverGrant(String[] fields) {
            return leases.get(Integer.parseInt(fields[1]))
                    .applyGrant(
                            Long.parseLong(fields[2]),
                            Long.parseLong(fields[3]),
                            new LeaseGrant(Long.parseLong(fields[4]), Long.parseLong(fields[5])));
        }

        String key() {
            StringBuilder key = new StringBuilder().append(ledgers.size()).append(network);
            for (int i = 0; i < BACKENDS; i++) {
                key.append('|').append(leases.get(i).stateKey(now)).append('|');
                key.append(i < ledgers.size() ? ledgers.get(i).stateKey(now) : "");
            }
            return key.toString();
        }
    }

    /**
     * Replays the actions from the initial state and checks the limit after each action; returns empty if an action is
     * not possible.
     */
    private static Optional<SystemState> replay(List<String> actions) {
        SystemState state = new SystemState();
        List<Sample> samples = new ArrayList<>();
        for (String action : actions) {
            if (!state.apply(action)) {
                return Optional.empty();
            }
            samples.add(new Sample(state.now, state.available(0), state.available(1)));
            assertTrue(maxUsageWithinASecond(samples, state.now) <= QUOTA.limit(), "limit exceeded after " + actions);
        }
        return Optional.of(state);
    }

    /** Returns the combined amount that the backends could have used within the last second. */
    private static long maxUsageWithinASecond(List<Sample> samples, Duration now) {
        List<Sample> recent = samples.stream()
                .filter(sample -> now.minus(sample.at).toMillis() < 1000)
                .toList();
        return recent.stream().mapToLong(Sample::first).max().orElse(0)
                + recent.stream().mapToLong(Sample::second).max().orElse(0);
    }

    @Test
    void leasesDoNotExceedTheLimitInAnyReachableState() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<String>> open = new ArrayDeque<>();
        open.add(List.of());
        int states = 0;
        int bothHold = 0;
        while (!open.isEmpty()) {
            List<String> path = open.poll();
            Optional<SystemState> replayed = replay(path);
            if (replayed.isEmpty() || !seen.add(replayed.get().key())) {
                continue;
            }
            SystemState state = replayed.get();
            states++;
            bothHold += state.available(0) > 0 && state.available(1) > 0 ? 1 : 0;
            if (path.size() == MAX_DEPTH) {
                continue;
            }
            List<String> actions = new ArrayList<>(List.of("tick", "lead", "ask/0", "ask/1"));
            actions.addAll(state.network);
            for (String action : actions) {
                List<String> next = new ArrayList<>(path);
                next.add(action);
                open.add(next);
            }
        }
        assertTrue(
                states > 5000 && bothHold > 20, states + " states, of which both backends hold a lease in " + bothHold);
    }
}
