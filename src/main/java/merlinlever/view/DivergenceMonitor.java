package merlinlever.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Which voters hold another view than this one for longer than a view takes to come round, and since when; told once each. */
final class DivergenceMonitor {

    private final VoterResponses responses;
    private final Duration patience;
    private final Consumer<String> log;
    private final Map<String, VoterResponses.VoterResponse> diverging = new TreeMap<>();

    DivergenceMonitor(VoterResponses responses, Duration patience, Consumer<String> log) {
        this.responses = responses;
        this.patience = patience;
        this.log = log;
    }

    void update(Duration now, List<String> heard, MembershipView view, Duration viewSince) {
        for (String voter : heard) {
            VoterResponses.VoterResponse voice = responses.find(voter);
            boolean same = voice.viewNumber() == view.number() && voice.digest().equals(view.digest());
            VoterResponses.VoterResponse before = diverging.get(voter);
            if (same && before != null) {
                diverging.remove(voter);
                log.accept("view: " + voter + " holds the same view again");
            } else if (!same
                    && now.minus(voice.viewSince()).compareTo(patience) >= 0
                    && now.minus(viewSince).compareTo(patience) >= 0
                    && (before == null
                            || before.viewNumber() != voice.viewNumber()
                            || !before.digest().equals(voice.digest()))) {
                diverging.put(voter, voice);
                log.accept("view: " + voter + " holds another view since "
                        + now.minus(voice.viewSince()).toMillis() + " ms: " + MembershipView.displayNumber(voice.viewNumber()) + " ("
                        + voice.digest() + "), here it is " + view.describe());
            }
        }
        for (String voter : new ArrayList<>(diverging.keySet())) {
            if (!heard.contains(voter)) {
                diverging.remove(voter);
            }
        }
    }

    /** As the elements of a JSON array. */
    String json(Duration now) {
        List<String> each = new ArrayList<>();
        diverging.forEach((name, voice) ->
                each.add("{\"name\":\"" + name + "\",\"view\":\"" + MembershipView.displayNumber(voice.viewNumber())
                        + "\",\"digest\":\"" + voice.digest() + "\",\"since_ms\":"
                        + now.minus(voice.viewSince()).toMillis() + "}"));
        return String.join(",", each);
    }
}
