package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.LogEvent;

/**
 * Detects voters whose view differs from the view of this backend for longer than the propagation of a new view takes,
 * and logs each divergence once. Not thread-safe.
 */
final class DivergenceMonitor {

    private final VoterResponses responses;
    private final Duration tolerance;
    private final EventLog log;
    private final Map<String, VoterResponses.VoterResponse> diverging = new TreeMap<>();

    /**
     * Creates a monitor without any detected divergence.
     *
     * @param tolerance how long two views may differ before the monitor logs the difference
     */
    DivergenceMonitor(VoterResponses responses, Duration tolerance, EventLog log) {
        this.responses = responses;
        this.tolerance = tolerance;
        this.log = log;
    }

    /**
     * Compares the views of the voters with the view of this backend.
     *
     * @param heard the voters that currently respond
     * @param view the view that this backend adopted at {@code adoptedAt}
     */
    void update(Duration now, List<String> heard, MembershipView view, Duration adoptedAt) {
        for (String voter : heard) {
            compare(now, voter, view, adoptedAt);
        }
        diverging.keySet().retainAll(heard);
    }

    private void compare(Duration now, String voter, MembershipView view, Duration adoptedAt) {
        VoterResponses.VoterResponse response = responses.find(voter);
        VoterResponses.VoterResponse logged = diverging.get(voter);
        boolean agrees =
                response.viewNumber() == view.number() && response.digest().equals(view.digest());
        if (agrees && logged != null) {
            diverging.remove(voter);
            log.write(LogEvent.info("voter-view-agrees-again").with("voter", voter));
        } else if (!agrees
                && now.minus(response.viewSince()).compareTo(tolerance) >= 0
                && now.minus(adoptedAt).compareTo(tolerance) >= 0
                && !isSameView(response, logged)) {
            diverging.put(voter, response);
            LogEvent diverges = LogEvent.info("voter-view-diverges")
                    .with("voter", voter)
                    .with("since_ms", now.minus(response.viewSince()).toMillis())
                    .with("voter_view", MembershipView.formatNumber(response.viewNumber()))
                    .with("voter_digest", response.digest());
            log.write(view.addTo(diverges));
        }
    }

    private static boolean isSameView(VoterResponses.VoterResponse response, VoterResponses.VoterResponse logged) {
        return logged != null
                && logged.viewNumber() == response.viewNumber()
                && logged.digest().equals(response.digest());
    }

    /** Returns the diverging voters as the elements of a JSON array, without the brackets. */
    String json(Duration now) {
        List<String> elements = new ArrayList<>();
        diverging.forEach((voter, response) -> elements.add("{\"name\":\"" + voter + "\",\"view\":\""
                + MembershipView.formatNumber(response.viewNumber()) + "\",\"digest\":\"" + response.digest()
                + "\",\"since_ms\":" + now.minus(response.viewSince()).toMillis() + "}"));
        return String.join(",", elements);
    }
}
