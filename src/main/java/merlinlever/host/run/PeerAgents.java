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
 * Instance reports of the other agents. The agents are polled on demand; the last report of each agent is cached with
 * its age, also after the agent has stopped responding. All methods are called on the thread of the event loop.
 */
public final class PeerAgents {

    /**
     * Membership and last report of another agent.
     *
     * @param timeSinceStatusChange time since the last change of the membership status
     * @param report last report, or empty before the first report
     */
    public record PeerAgent(MemberRecord member, Duration timeSinceStatusChange, Optional<PeerReport> report) {}

    /**
     * The last report of an agent.
     *
     * @param body response of the agent to {@code GET /instances}
     * @param age time since the report arrived
     */
    public record PeerReport(JsonNode body, Duration age) {}

    private record CachedReport(JsonNode body, Duration receivedAt) {}

    /** An agent with a more recent report is not polled again. */
    private static final Duration MAX_CACHE_AGE = Duration.ofMillis(200);

    private static final int MAX_CONCURRENT_POLLS = 64;

    private final EventLoop loop;
    private final SwimProtocol membership;
    private final String secret;
    private final Map<String, CachedReport> reports = new HashMap<>();
    private final List<Runnable> callbacks = new ArrayList<>();
    /** Agents that have not been polled in the current refresh; the next agent is last. */
    private final ArrayDeque<MemberRecord> pendingPolls = new ArrayDeque<>();

    private int openPolls;

    /** @param secret shared secret of all agents, sent with each poll */
    public PeerAgents(EventLoop loop, SwimProtocol membership, String secret) {
        this.loop = loop;
        this.membership = membership;
        this.secret = secret;
    }

    /**
     * Polls all agents that are neither dead nor left; runs the callback when every poll has completed or timed out.
     */
    public void refresh(Runnable callback) {
        callbacks.add(callback);
        if (openPolls > 0) {
            // The refresh in progress provides reports that are recent enough.
            return;
        }
        Duration now = loop.clock().now();
        otherMembers().stream().filter(member -> needsPoll(now, member)).forEach(pendingPolls::addLast);
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
        while (openPolls < MAX_CONCURRENT_POLLS && !pendingPolls.isEmpty()) {
            MemberRecord member = pendingPolls.removeLast();
            InetSocketAddress address = MembershipTransport.parseAddress(member.apiAddress());
            if (address != null) {
                openPolls++;
                StatusPoll.ofAgent(loop, address, secret, response -> pollEnded(member, response));
            }
        }
        if (openPolls == 0) {
            List<Runnable> completed = List.copyOf(callbacks);
            callbacks.clear();
            completed.forEach(Runnable::run);
        }
    }

    private void pollEnded(MemberRecord member, Optional<JsonNode> response) {
        openPolls--;
        response.filter(body -> body.path("host").asText().equals(member.name()))
                .ifPresent(body -> reports.put(
                        member.name(), new CachedReport(body, loop.clock().now())));
        pollNext();
    }

    /** Returns all other agents with their last reports. */
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
