package merlinlever.host.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.net.MembershipTransport;

/**
 * The reports of the other agents about their instances. They are asked on demand; the last report of each is kept with its
 * age, also when the agent does not answer any more. All methods are called on the thread of the event loop.
 */
public final class PeerAgents {

    /**
     * What is known of one other agent.
     *
     * @param timeSinceStatusChange how long its membership status is as it is
     * @param report its last report, empty before the first
     */
    public record PeerAgent(MemberRecord member, Duration timeSinceStatusChange, Optional<PeerReport> report) {}

    /**
     * The last report of an agent.
     *
     * @param body as the agent answered {@code GET /instances}
     * @param age since it arrived
     */
    public record PeerReport(JsonNode body, Duration age) {}

    private record CachedReport(JsonNode body, Duration receivedAt) {}

    /** An agent with a younger report is not asked again. */
    private static final Duration MAX_CACHE_AGE = Duration.ofMillis(200);

    private static final int MAX_CONCURRENT_POLLS = 64;

    private final EventLoop loop;
    private final SwimProtocol membership;
    private final String secret;
    private final Map<String, CachedReport> reports = new HashMap<>();
    private final List<Runnable> callbacks = new ArrayList<>();
    /** Agents that are still to be asked, the next one last. */
    private final ArrayDeque<MemberRecord> unasked = new ArrayDeque<>();

    private int openPolls;

    /** Knows the agents by the membership; they are asked with the secret that all agents share. */
    public PeerAgents(EventLoop loop, SwimProtocol membership, String secret) {
        this.loop = loop;
        this.membership = membership;
        this.secret = secret;
    }

    /** Asks all agents that are not known to be gone, and runs the callback when each has answered or timed out. */
    public void refresh(Runnable callback) {
        callbacks.add(callback);
        if (openPolls > 0) {
            // A refresh is under way; its reports are new enough.
            return;
        }
        Duration now = loop.clock().now();
        otherMembers().stream().filter(member -> needsPoll(now, member)).forEach(unasked::addLast);
        pollNext();
    }

    private List<MemberRecord> otherMembers() {
        String self = membership.memberTable().self();
        return membership.memberTable().records().stream()
                .filter(member -> !member.name().equals(self))
                .toList();
    }

    private boolean needsPoll(Duration now, MemberRecord member) {
        if (member.status() == MemberStatus.DEAD || member.status() == MemberStatus.LEFT) {
            return false;
        }
        CachedReport report = reports.get(member.name());
        return report == null || now.minus(report.receivedAt).compareTo(MAX_CACHE_AGE) > 0;
    }

    private void pollNext() {
        while (openPolls < MAX_CONCURRENT_POLLS && !unasked.isEmpty()) {
            MemberRecord member = unasked.removeLast();
            InetSocketAddress address = MembershipTransport.parseAddress(member.apiAddress());
            if (address != null) {
                openPolls++;
                StatusPoll.ofAgent(loop, address, secret, answer -> pollEnded(member, answer));
            }
        }
        if (openPolls == 0) {
            List<Runnable> completed = List.copyOf(callbacks);
            callbacks.clear();
            completed.forEach(Runnable::run);
        }
    }

    private void pollEnded(MemberRecord member, Optional<JsonNode> answer) {
        openPolls--;
        answer.filter(body -> body.path("host").asText().equals(member.name()))
                .ifPresent(body -> reports.put(
                        member.name(), new CachedReport(body, loop.clock().now())));
        pollNext();
    }

    /** All other agents, with their last reports. */
    public List<PeerAgent> all() {
        Duration now = loop.clock().now();
        return otherMembers().stream()
                .map(member -> new PeerAgent(
                        member,
                        membership.timeSinceChange(now, member.name()),
                        Optional.ofNullable(reports.get(member.name()))
                                .map(report -> new PeerReport(report.body, now.minus(report.receivedAt)))))
                .toList();
    }
}
