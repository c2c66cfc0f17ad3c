package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the voters answer this backend: which of them it hears, and which view each of them has adopted. An answer counts only
 * once, and only to a poll that is pending, so a replayed one changes nothing. Times are since the process began. Not
 * thread-safe.
 */
final class VoterResponses {

    /**
     * The last answer of a voter.
     *
     * @param viewSince when it was first heard to hold that view
     * @param lastAgreedAt when it last held the same view as this backend, or null
     */
    record VoterResponse(Duration heardAt, long viewNumber, String digest, Duration viewSince, Duration lastAgreedAt) {
        private boolean isHeard(Duration now, Duration validity) {
            return now.minus(heardAt).compareTo(validity) < 0;
        }
    }

    private record PendingPoll(String voter, Duration sentAt) {}

    private final Map<String, VoterResponse> responses = new TreeMap<>();
    private final Map<Long, PendingPoll> pendingPolls = new LinkedHashMap<>();

    /**
     * A poll is sent now.
     *
     * @param retention how long an answer to a poll is waited for
     */
    void recordPoll(Duration now, String voter, long correlationId, Duration retention) {
        pendingPolls.values().removeIf(poll -> now.minus(poll.sentAt).compareTo(retention) > 0);
        pendingPolls.put(correlationId, new PendingPoll(voter, now));
    }

    /**
     * Takes in an answer.
     *
     * @param own the view that this backend has adopted
     * @return false where it answers no pending poll of that voter, and so was ignored
     */
    boolean recordAnswer(
            Duration now, String voter, long correlationId, long viewNumber, String digest, MembershipView own) {
        PendingPoll poll = pendingPolls.get(correlationId);
        if (poll == null || !poll.voter.equals(voter)) {
            return false;
        }
        pendingPolls.remove(correlationId);
        VoterResponse previous = responses.get(voter);
        boolean isSameView = previous != null && previous.viewNumber == viewNumber && previous.digest.equals(digest);
        boolean agrees = viewNumber == own.number() && digest.equals(own.digest());
        Duration lastAgreedAt = previous == null ? null : previous.lastAgreedAt;
        responses.put(
                voter,
                new VoterResponse(
                        now, viewNumber, digest, isSameView ? previous.viewSince : now, agrees ? now : lastAgreedAt));
        return true;
    }

    /** This process was paused: no voter counts as heard before it has answered a new poll. */
    void clear() {
        responses.clear();
        pendingPolls.clear();
    }

    /** Names of the voters that were heard within the validity, without this backend. */
    List<String> heardVoters(Duration now, Duration validity) {
        List<String> heard = new ArrayList<>();
        responses.forEach((name, response) -> {
            if (response.isHeard(now, validity)) {
                heard.add(name);
            }
        });
        return heard;
    }

    /**
     * How many of the heard voters agree with this backend's view. One that agreed lately counts still: it may have changed
     * first.
     */
    int countAgreeing(Duration now, Duration validity, MembershipView own, Duration ownSince) {
        int agreeing = 0;
        for (String name : heardVoters(now, validity)) {
            VoterResponse response = responses.get(name);
            boolean conflicts = response.viewNumber == own.number() && !response.digest.equals(own.digest());
            boolean agreedLately = now.minus(ownSince).compareTo(validity) < 0
                    || (response.lastAgreedAt != null
                            && now.minus(response.lastAgreedAt).compareTo(validity) < 0);
            if (!conflicts && agreedLately) {
                agreeing++;
            }
        }
        return agreeing;
    }

    /** How many voters have answered since that time and hold no later view than that number. */
    int countNotAhead(Duration since, long viewNumber) {
        int count = 0;
        for (VoterResponse response : responses.values()) {
            if (response.heardAt.compareTo(since) >= 0 && response.viewNumber <= viewNumber) {
                count++;
            }
        }
        return count;
    }

    /** Whether a voter that is heard holds a later view than that number. */
    boolean isAnyAhead(Duration now, Duration validity, long viewNumber) {
        return responses.values().stream()
                .anyMatch(response -> response.isHeard(now, validity) && response.viewNumber > viewNumber);
    }

    /** The last answer of a voter, or null where there is none. */
    VoterResponse find(String voter) {
        return responses.get(voter);
    }
}
