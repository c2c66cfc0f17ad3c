package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records the answers of the voters to the polls of this backend: when each voter was last heard and which view it has
 * adopted. Only the first answer to a pending poll counts, so replayed answers have no effect. Times are measured from
 * the start of the process. Not thread-safe.
 */
final class VoterResponses {

    /**
     * The last answer of a voter.
     *
     * @param viewSince when the voter first reported this view
     * @param lastAgreedAt when the voter last reported the same view as this backend, or null
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
     * Records a poll that is being sent.
     *
     * @param retention how long an answer to the poll is accepted
     */
    void recordPoll(Duration now, String voter, long correlationId, Duration retention) {
        pendingPolls.values().removeIf(poll -> now.minus(poll.sentAt).compareTo(retention) > 0);
        pendingPolls.put(correlationId, new PendingPoll(voter, now));
    }

    /**
     * Records an answer.
     *
     * @param own the view that this backend has adopted
     * @return false if the answer was ignored because it does not match a pending poll of the voter
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

    /** Discards all answers after a pause of this process; a voter counts as heard when it answers a new poll. */
    void clear() {
        responses.clear();
        pendingPolls.clear();
    }

    /** Returns the names of the voters heard within the validity, without this backend. */
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
     * Counts the heard voters that agree with the view of this backend. A voter that agreed recently still counts, as
     * it may have adopted the next view earlier than this backend.
     */
    int countAgreeing(Duration now, Duration validity, MembershipView own, Duration ownSince) {
        int agreeing = 0;
        for (String name : heardVoters(now, validity)) {
            VoterResponse response = responses.get(name);
            boolean conflicts = response.viewNumber == own.number() && !response.digest.equals(own.digest());
            boolean agreedRecently = now.minus(ownSince).compareTo(validity) < 0
                    || (response.lastAgreedAt != null
                            && now.minus(response.lastAgreedAt).compareTo(validity) < 0);
            if (!conflicts && agreedRecently) {
                agreeing++;
            }
        }
        return agreeing;
    }

    /** Counts the voters that have answered since a time and whose view number is not higher than the given one. */
    int countNotAhead(Duration since, long viewNumber) {
        int count = 0;
        for (VoterResponse response : responses.values()) {
            if (response.heardAt.compareTo(since) >= 0 && response.viewNumber <= viewNumber) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a voter that is heard has a view with a higher number. */
    boolean isAnyAhead(Duration now, Duration validity, long viewNumber) {
        return responses.values().stream()
                .anyMatch(response -> response.isHeard(now, validity) && response.viewNumber > viewNumber);
    }

    /** Returns the last answer of a voter, or null. */
    VoterResponse find(String voter) {
        return responses.get(voter);
    }
}
