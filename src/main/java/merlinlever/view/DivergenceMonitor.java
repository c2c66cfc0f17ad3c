package merlinlever.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Which voters hold another view than this one for longer than a view takes to come round, and since when; told once each. */
final class DivergenceMonitor {

    private final VoterResponses voices;
    private final Duration patience;
    private final Consumer<String> log;
    private final Map<String, VoterResponses.VoterResponse> held = new TreeMap<>();

    DivergenceMonitor(VoterResponses voices, Duration patience, Consumer<String> log) {
        this.voices = voices;
        this.patience = patience;
        this.log = log;
    }

    void settle(Duration now, List<String> heard, MembershipView view, Duration viewSince) {
        for (String voter : heard) {
            VoterResponses.VoterResponse voice = voices.of(voter);
            boolean same = voice.number() == view.number() && voice.digest().equals(view.digest());
            VoterResponses.VoterResponse before = held.get(voter);
            if (same && before != null) {
                held.remove(voter);
                log.accept("view: " + voter + " holds the same view again");
            } else if (!same
                    && now.minus(voice.since()).compareTo(patience) >= 0
                    && now.minus(viewSince).compareTo(patience) >= 0
                    && (before == null
                            || before.number() != voice.number()
                            || !before.digest().equals(voice.digest()))) {
                held.put(voter, voice);
                log.accept("view: " + voter + " holds another view since "
                        + now.minus(voice.since()).toMillis() + " ms: " + MembershipView.place(voice.number()) + " ("
                        + voice.digest() + "), here it is " + view.told());
            }
        }
        for (String voter : new ArrayList<>(held.keySet())) {
            if (!heard.contains(voter)) {
                held.remove(voter);
            }
        }
    }

    /** As the elements of a JSON array. */
    String json(Duration now) {
        List<String> each = new ArrayList<>();
        held.forEach((name, voice) ->
                each.add("{\"name\":\"" + name + "\",\"view\":\"" + MembershipView.place(voice.number())
                        + "\",\"digest\":\"" + voice.digest() + "\",\"since_ms\":"
                        + now.minus(voice.since()).toMillis() + "}"));
        return String.join(",", each);
    }
}
