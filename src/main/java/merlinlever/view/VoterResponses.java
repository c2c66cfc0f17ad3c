package merlinlever.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the voters answer this one: which of them it hears, and which view each of them holds. An answer counts only to a
 * question that is out, and once; so an old one from a recording says nothing. Times are since the process began.
 */
final class VoterResponses {

    /**
     * What one voter answered last.
     *
     * @param viewSince when it was first heard to hold that view
     * @param lastAgreedAt when it last held the same as this one, or null
     */
    record VoterResponse(Duration heardAt, long viewNumber, String digest, Duration viewSince, Duration lastAgreedAt) {}

    private record PendingPoll(String voter, Duration sentAt) {}

    private final List<String> voters;
    private final Map<String, VoterResponse> responses = new TreeMap<>();
    private final Map<Long, PendingPoll> pendingPolls = new LinkedHashMap<>();

    VoterResponses(List<String> voters) {
        this.voters = voters;
    }

    void recordPoll(Duration now, String voter, long number, Duration keep) {
        pendingPolls.values().removeIf(each -> now.minus(each.sentAt).compareTo(keep) > 0);
        pendingPolls.put(number, new PendingPoll(voter, now));
    }

    /** An answer; false where it is none to a question of this one's. */
    boolean recordAnswer(Duration now, String voter, long question, long number, String digest, MembershipView mine) {
        PendingPoll asked = pendingPolls.get(question);
        if (asked == null || !asked.voter.equals(voter)) {
            return false;
        }
        pendingPolls.remove(question);
        VoterResponse before = responses.get(voter);
        boolean same = before != null && before.viewNumber == number && before.digest.equals(digest);
        boolean agrees = number == mine.number() && digest.equals(mine.digest());
        responses.put(
                voter,
                new VoterResponse(
                        now,
                        number,
                        digest,
                        same ? before.viewSince : now,
                        agrees ? now : before == null ? null : before.lastAgreedAt));
        return true;
    }

    /** This one stood still: nothing is heard before it is asked anew. */
    void clear() {
        responses.clear();
        pendingPolls.clear();
    }

    /** Voters that were heard not longer ago than that, without this one. */
    List<String> heardVoters(Duration now, Duration within) {
        List<String> heard = new ArrayList<>();
        responses.forEach((name, voice) -> {
            if (now.minus(voice.heardAt).compareTo(within) < 0) {
                heard.add(name);
            }
        });
        return heard;
    }

    /** As bits in the order of the voters. */
    long mask(Duration now, Duration within, String self) {
        long mask = 0;
        List<String> heard = heardVoters(now, within);
        for (int i = 0; i < voters.size(); i++) {
            mask |= heard.contains(voters.get(i)) || voters.get(i).equals(self) ? 1L << i : 0;
        }
        return mask;
    }

    /** Those heard that hold the same view; one that was seen to change is waited for as long as one that is silent. */
    int countAgreeing(Duration now, Duration within, MembershipView mine, Duration mineSince) {
        int agreeing = 0;
        for (String name : heardVoters(now, within)) {
            VoterResponse voice = responses.get(name);
            boolean clash = voice.viewNumber == mine.number() && !voice.digest.equals(mine.digest());
            boolean lately = now.minus(mineSince).compareTo(within) < 0
                    || voice.lastAgreedAt != null && now.minus(voice.lastAgreedAt).compareTo(within) < 0;
            agreeing += !clash && lately ? 1 : 0;
        }
        return agreeing;
    }

    /** How many voters have answered since then and hold nothing later than that number. */
    int countNotAhead(Duration since, long number) {
        int count = 0;
        for (VoterResponse voice : responses.values()) {
            count += voice.heardAt.compareTo(since) >= 0 && voice.viewNumber <= number ? 1 : 0;
        }
        return count;
    }

    /** Whether one that is heard holds a later view than that. */
    boolean isAnyAhead(Duration now, Duration within, long number) {
        return heardVoters(now, within).stream().anyMatch(name -> responses.get(name).viewNumber > number);
    }

    VoterResponse find(String voter) {
        return responses.get(voter);
    }
}
