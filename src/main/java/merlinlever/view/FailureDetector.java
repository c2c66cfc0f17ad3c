package merlinlever.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What one observer finds of its subjects: each is asked every so often, and held gone when no answer came for so long. An
 * answer counts once, when it comes, however late: a slow link is no death. Times are since the process began.
 */
final class FailureDetector {

    /** A question to be put. */
    record Probe(String to, long number) {}

    private record PendingProbe(String name, Duration at) {}

    private final ViewSettings stated;
    private final SplittableRandom chance;
    /** When each subject last answered, or began to be asked. */
    private final Map<String, Duration> heardAt = new TreeMap<>();

    private final Map<String, Duration> nextAt = new TreeMap<>();
    /** Questions that may be answered still: what is asked of all subjects in twice the silence, at the most. */
    private final Map<Long, PendingProbe> out = new LinkedHashMap<>();

    private long numbers;

    /** @param first number of its questions, which no other life comes near */
    FailureDetector(ViewSettings stated, long first, SplittableRandom chance) {
        this.stated = stated;
        this.chance = chance;
        numbers = first;
    }

    /** From here on these are observed; what is known of those that stay is kept. */
    void subjects(Duration now, List<String> names) {
        heardAt.keySet().retainAll(names);
        nextAt.keySet().retainAll(names);
        for (String name : names) {
            heardAt.putIfAbsent(name, now);
            nextAt.putIfAbsent(
                    name, now.plusNanos(chance.nextLong(stated.probe().toNanos())));
        }
    }

    /** This one stood still: it knows nothing of how long the others were silent. */
    void stoodStill(Duration now) {
        out.clear();
        heardAt.replaceAll((name, at) -> now);
    }

    List<Probe> settle(Duration now) {
        List<Probe> asks = new ArrayList<>();
        for (Map.Entry<String, Duration> entry : nextAt.entrySet()) {
            if (now.compareTo(entry.getValue()) >= 0) {
                entry.setValue(now.plus(stated.probe()));
                out.put(++numbers, new PendingProbe(entry.getKey(), now));
                asks.add(new Probe(entry.getKey(), numbers));
            }
        }
        if (!asks.isEmpty()) {
            out.values()
                    .removeIf(each ->
                            now.minus(each.at).compareTo(stated.silence().multipliedBy(2)) > 0);
        }
        return asks;
    }

    void answered(Duration now, String name, long number) {
        PendingProbe asked = out.get(number);
        if (asked != null && asked.name.equals(name)) {
            out.remove(number);
            heardAt.computeIfPresent(name, (same, at) -> now);
        }
    }

    /** Those that it holds gone. */
    List<String> gone(Duration now) {
        List<String> gone = new ArrayList<>();
        heardAt.forEach((name, at) -> {
            if (now.minus(at).compareTo(stated.silence()) >= 0) {
                gone.add(name);
            }
        });
        return gone;
    }

    /** Whether anybody is heard. */
    boolean hears(Duration now) {
        return heardAt.size() > gone(now).size();
    }
}
