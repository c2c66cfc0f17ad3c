package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;

/**
 * Which voters hold another view than this backend for longer than a view takes to reach all, and since when. Each such voter
 * is logged once. Not thread-safe.
 */
final class DivergenceMonitor {

    private final VoterResponses responses;
    private final Duration patience;
    private final EventLog log;
    private final Map<String, VoterResponses.VoterResponse> diverging = new TreeMap<>();

    /**
     * A monitor that has logged nothing yet.
     *
     * @param patience how long two views may differ before it is worth a line
     */
    DivergenceMonitor(VoterResponses responses, Duration patience, EventLog log) {
        this.responses = responses;
        this.patience = patience;
        this.log = log;
    }

    /**
     * Compares the views of the voters with the own one.
     *
     * @param heard the voters that are heard now
     * @param view adopted by this backend, at {@code adoptedAt}
     */
    void update(Duration now, List<String> heard, MembershipView view, Duration adoptedAt) {
        for (String voter : heard) {
            compare(now, voter, view, adoptedAt);
        }
        diverging.keySet().retainAll(heard);
    }

    private void compare(Duration now, String voter, MembershipView view, Duration adoptedAt) {
        VoterResponses.VoterResponse response = responses.find(voter);
        VoterResponses.VoterResponse reported = diverging.get(voter);
        boolean agrees =
                response.viewNumber() == view.number() && response.digest().equals(view.digest());
        if (agrees && reported != null) {
            diverging.remove(voter);
            log.write(LogEvent.info("voter-view-agrees-again").with("voter", voter));
        } else if (!agrees
                && now.minus(response.viewSince()).compareTo(patience) >= 0
                && now.minus(adoptedAt).compareTo(patience) >= 0
                && !isSameView(response, reported)) {
            diverging.put(voter, response);
            LogEvent diverges = LogEvent.info("voter-view-diverges")
                    .with("voter", voter)
                    .with("since_ms", now.minus(response.viewSince()).toMillis())
                    .with("voter_view", MembershipView.formatNumber(response.viewNumber()))
                    .with("voter_digest", response.digest());
            log.write(view.addTo(diverges));
        }
    }

    private static boolean isSameView(VoterResponses.VoterResponse response, VoterResponses.VoterResponse reported) {
        return reported != null
                && reported.viewNumber() == response.viewNumber()
                && reported.digest().equals(response.digest());
    }

    /** The diverging voters as the elements of a JSON array. */
    String json(Duration now) {
        List<String> elements = new ArrayList<>();
        diverging.forEach((voter, response) -> elements.add("{\"name\":\"" + voter + "\",\"view\":\""
                + MembershipView.formatNumber(response.viewNumber()) + "\",\"digest\":\"" + response.digest()
                + "\",\"since_ms\":" + now.minus(response.viewSince()).toMillis() + "}"));
        return String.join(",", elements);
    }
}
