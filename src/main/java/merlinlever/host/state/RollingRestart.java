package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Decides a rolling restart: which instances are restarted next, whether it has to wait, and when it has gone wrong. One
 * machine at a time and no more at once than a stated part of the fleet, in which everything counts that is away for
 * whatever reason; on only when the successors are warm by what they tell and callers are not worse off than before.
 */
public final class RollingRestart {

    /** How far it is. */
    public enum RolloutPhase {
        WATCHING,
        ROLLING,
        DONE,
        STOPPED
    }

    /**
     * One instance as it was last seen.
     *
     * @param turnedAway pushbacks and operations broken off since its process began
     */
    public record InstanceObservation(
            String name, String host, InstanceSupervisor.InstanceState state, long launches, long turnedAway) {
        boolean serves() {
            return state == InstanceSupervisor.InstanceState.WARM
                    || state == InstanceSupervisor.InstanceState.SLOW
                    || state == InstanceSupervisor.InstanceState.THERE;
        }
    }

    /**
     * What is stated.
     *
     * @param batch restarted at once at the most
     * @param mostAway part of the fleet that may be away at once, 0 to 1; one always may
     * @param warmWithin a restarted one has to serve again
     * @param watch so long callers are watched before the first batch and behind each
     * @param worse the roll is stopped where so many times as many are turned away as before it
     */
    public record RollingRestartSettings(
            int batch, double mostAway, Duration warmWithin, Duration watch, double worse) {}

    /** Turned away a second that nobody minds, so that one in a quiet fleet is no reason to stop. */
    private static final double UNMINDED = 1;

    private final RollingRestartSettings stated;
    private final Set<String> todo;
    private final Map<String, Long> inHand = new LinkedHashMap<>();
    private final List<String> done = new ArrayList<>();
    private final Map<String, InstanceObservation> last = new LinkedHashMap<>();
    private RolloutPhase phase = RolloutPhase.WATCHING;
    private String why = "";
    private Duration since, batchAt;
    private double turnedAway;
    private double usual = -1;

    /** @param names in the order in which they are restarted, as far as machines allow */
    public RollingRestart(RollingRestartSettings stated, List<String> names) {
        this.stated = stated;
        todo = new LinkedHashSet<>(names);
    }

    public RolloutPhase phase() {
        return phase;
    }

    /** Why it waits or was stopped, for people. */
    public String why() {
        return why;
    }

    public List<String> done() {
        return done;
    }

    /** Restarted and not serving yet. */
    public List<String> inHand() {
        return new ArrayList<>(inHand.keySet());
    }

    public List<String> todo() {
        return new ArrayList<>(todo);
    }

    private List<String> stop(String reason) {
        phase = RolloutPhase.STOPPED;
        why = reason;
        return List.of();
    }

    /** What is to be restarted now, by what is seen of the whole fleet. */
    public List<String> settle(Duration now, List<InstanceObservation> fleet) {
        if (phase == RolloutPhase.DONE || phase == RolloutPhase.STOPPED) {
            return List.of();
        }
        count(fleet);
        if (since == null) {
            since = now;
            turnedAway = 0;
        }
        if (phase == RolloutPhase.WATCHING) {
            if (now.minus(since).compareTo(stated.watch) < 0) {
                why = "watching callers before the first batch";
                return List.of();
            }
            usual = rate(now);
            phase = RolloutPhase.ROLLING;
        }
        String wrong = look(now);
        if (wrong != null) {
            return stop(wrong);
        }
        if (!inHand.isEmpty()) {
            why = "waiting for " + String.join(", ", inHand.keySet()) + " to be warm";
            return List.of();
        }
        if (batchAt != null) {
            if (now.minus(since).compareTo(stated.watch) < 0) {
                why = "watching callers behind the batch";
                return List.of();
            }
            double is = rate(now);
            if (is > UNMINDED + stated.worse * usual) {
                return stop(String.format(
                        Locale.ROOT, "%.1f operations a second are turned away, %.1f were before", is, usual));
            }
        }
        if (todo.isEmpty()) {
            phase = RolloutPhase.DONE;
            why = "";
            return List.of();
        }
        return next(now, fleet);
    }

    /** Adds up what was turned away since the last look, over restarts, which begin to count anew. */
    private void count(List<InstanceObservation> fleet) {
        for (InstanceObservation seen : fleet) {
            InstanceObservation before = last.put(seen.name, seen);
            if (before != null) {
                turnedAway += seen.launches == before.launches && seen.turnedAway >= before.turnedAway
                        ? seen.turnedAway - before.turnedAway
                        : seen.turnedAway;
            }
        }
    }

    private double rate(Duration now) {
        return turnedAway / Math.max(0.001, now.minus(since).toMillis() / 1000.0);
    }

    /** Sees which of the batch serve again; returns what went wrong, or null. */
    private String look(Duration now) {
        for (Map.Entry<String, Long> entry : List.copyOf(inHand.entrySet())) {
            InstanceObservation seen = last.get(entry.getKey());
            if (seen.state == InstanceSupervisor.InstanceState.GIVEN_UP) {
                return seen.name + " keeps dying since it was restarted";
            }
            if (seen.launches > entry.getValue() + 2) {
                return seen.name + " died " + (seen.launches - entry.getValue() - 1) + " times since it was restarted";
            }
            if (seen.serves() && seen.launches > entry.getValue()) {
                inHand.remove(entry.getKey());
                done.add(entry.getKey());
                since = now;
                turnedAway = 0;
            } else if (now.minus(batchAt).compareTo(stated.warmWithin) > 0) {
                return seen.name + " is not warm " + stated.warmWithin.toSeconds() + " s after it was restarted, but "
                        + seen.state.wireName();
            }
        }
        return null;
    }

    private List<String> next(Duration now, List<InstanceObservation> fleet) {
        int allowed = Math.max(1, (int) (stated.mostAway * fleet.size()));
        List<String> away = fleet.stream()
                .filter(seen -> !seen.serves())
                .map(InstanceObservation::name)
                .toList();
        int room = Math.min(
                stated.batch,
                allowed
                        - (int) away.stream()
                                .filter(name -> !todo.contains(name))
                                .count());
        // One that is away already and is to be restarted takes nobody else away.
        List<String> chosen = new ArrayList<>();
        String host = null;
        for (String name : todo) {
            InstanceObservation seen = last.get(name);
            if (seen == null) {
                return stop(name + " is not known any more");
            }
            if (seen.state == InstanceSupervisor.InstanceState.UNREACHED) {
                why = name + " is not reached: waiting for it";
                return List.of();
            }
            if (chosen.size() < room && (host == null || host.equals(seen.host))) {
                host = seen.host;
                chosen.add(name);
            }
        }
        if (chosen.isEmpty()) {
            why = away.size() + " of " + fleet.size() + " are away ("
                    + String.join(", ", away.subList(0, Math.min(5, away.size()))) + "), at most " + allowed
                    + " may be: waiting";
            return List.of();
        }
        chosen.forEach(name -> {
            todo.remove(name);
            inHand.put(name, last.get(name).launches);
        });
        batchAt = now;
        why = "";
        return chosen;
    }
}
