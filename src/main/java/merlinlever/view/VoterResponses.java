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
     * @param since when it was first heard to hold that view
     * @param agreedAt when it last held the same as this one, or null
     */
    record VoterResponse(Duration heardAt, long number, String digest, Duration since, Duration agreedAt) {}

    private record PendingPoll(String name, Duration at) {}

    private final List<String> voters;
    private final Map<String, VoterResponse> voices = new TreeMap<>();
    private final Map<Long, PendingPoll> out = new LinkedHashMap<>();

    VoterResponses(List<String> voters) {
        this.voters = voters;
    }

    void asked(Duration now, String voter, long number, Duration keep) {
        out.values().removeIf(each -> now.minus(each.at).compareTo(keep) > 0);
        out.put(number, new PendingPoll(voter, now));
    }

    /** An answer; false where it is none to a question of this one's. */
    boolean answered(Duration now, String voter, long question, long number, String digest, MembershipView mine) {
        PendingPoll asked = out.get(question);
        if (asked == null || !asked.name.equals(voter)) {
            return false;
        }
        out.remove(question);
        VoterResponse before = voices.get(voter);
        boolean same = before != null && before.number == number && before.digest.equals(digest);
        boolean agrees = number == mine.number() && digest.equals(mine.digest());
        voices.put(
                voter,
                new VoterResponse(
                        now,
                        number,
                        digest,
                        same ? before.since : now,
                        agrees ? now : before == null ? null : before.agreedAt));
        return true;
    }

    /** This one stood still: nothing is heard before it is asked anew. */
    void stoodStill() {
        voices.clear();
        out.clear();
    }

    /** Voters that were heard not longer ago than that, without this one. */
    List<String> heard(Duration now, Duration within) {
        List<String> heard = new ArrayList<>();
        voices.forEach((name, voice) -> {
            if (now.minus(voice.heardAt).compareTo(within) < 0) {
                heard.add(name);
            }
        });
        return heard;
    }

    /** As bits in the order of the voters. */
    long mask(Duration now, Duration within, String self) {
        long mask = 0;
        List<String> heard = heard(now, within);
        for (int i = 0; i < voters.size(); i++) {
            mask |= heard.contains(voters.get(i)) || voters.get(i).equals(self) ? 1L << i : 0;
        }
        return mask;
    }

    /** Those heard that hold the same view; one that was seen to change is waited for as long as one that is silent. */
    int agreeing(Duration now, Duration within, MembershipView mine, Duration mineSince) {
        int agreeing = 0;
        for (String name : heard(now, within)) {
            VoterResponse voice = voices.get(name);
            boolean clash = voice.number == mine.number() && !voice.digest.equals(mine.digest());
            boolean lately = now.minus(mineSince).compareTo(within) < 0
                    || (voice.agreedAt != null && now.minus(voice.agreedAt).compareTo(within) < 0);
            agreeing += !clash && lately ? 1 : 0;
        }
        return agreeing;
    }

    /** How many voters have answered since then and hold nothing later than that number. */
    int notBeyond(Duration since, long number) {
        int count = 0;
        for (VoterResponse voice : voices.values()) {
            count += voice.heardAt.compareTo(since) >= 0 && voice.number <= number ? 1 : 0;
        }
        return count;
    }

    /** Whether one that is heard holds a later view than that. */
    boolean beyond(Duration now, Duration within, long number) {
        return heard(now, within).stream().anyMatch(name -> voices.get(name).number > number);
    }

    VoterResponse of(String voter) {
        return voices.get(voter);
    }
}
