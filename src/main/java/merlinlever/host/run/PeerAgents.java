package merlinlever.host.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.net.MembershipTransport;

/**
 * What the other agents tell of their instances, asked for when somebody wants to know, and kept with its age for when they
 * do not answer any more.
 */
public final class PeerAgents {

    /** What is known of one agent; {@code report} is null before its first answer. */
    public record PeerAgent(MemberRecord agent, Duration changedAgo, JsonNode report, Duration reportAgo) {}

    private record CachedReport(JsonNode body, Duration at) {}

    /** A report that is younger than this is not asked for again; of two thousand agents so many are asked at once. */
    private static final Duration FRESH = Duration.ofMillis(200);

    private static final int AT_ONCE = 64;

    private final EventLoop loop;
    private final SwimProtocol members;
    private final String secret;
    private final Map<String, CachedReport> reports = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private final List<MemberRecord> toAsk = new ArrayList<>();
    private int open;

    public PeerAgents(EventLoop loop, SwimProtocol members, String secret) {
        this.loop = loop;
        this.members = members;
        this.secret = secret;
    }

    /** Asks all that are not known to be gone; {@code then} runs when all have answered or their time is over. */
    public void ask(Runnable then) {
        waiting.add(then);
        if (open > 0) {
            // They are being asked; what comes is new enough.
            return;
        }
        Duration now = loop.clock().now();
        for (MemberRecord agent : members.memberTable().all()) {
            CachedReport report = reports.get(agent.name());
            boolean gone = agent.status() == MemberStatus.DEAD || agent.status() == MemberStatus.LEFT;
            if (!agent.name().equals(members.memberTable().self())
                    && !gone
                    && (report == null || now.minus(report.at).compareTo(FRESH) > 0)) {
                toAsk.add(agent);
            }
        }
        next();
    }

    private void next() {
        while (open < AT_ONCE && !toAsk.isEmpty()) {
            MemberRecord agent = toAsk.remove(toAsk.size() - 1);
            InetSocketAddress address = MembershipTransport.parseAddress(agent.apiAddress());
            if (address == null) {
                continue;
            }
            open++;
            StatusPoll.agent(loop, address, secret, body -> {
                open--;
                if (body != null && body.path("host").asText().equals(agent.name())) {
                    reports.put(
                            agent.name(), new CachedReport(body, loop.clock().now()));
                }
                next();
            });
        }
        if (open == 0) {
            List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
        }
    }

    /** All other agents, with their last reports. */
    public List<PeerAgent> all() {
        Duration now = loop.clock().now();
        List<PeerAgent> all = new ArrayList<>();
        for (MemberRecord agent : members.memberTable().all()) {
            if (!agent.name().equals(members.memberTable().self())) {
                CachedReport report = reports.get(agent.name());
                all.add(new PeerAgent(
                        agent,
                        members.timeSinceChange(now, agent.name()),
                        report == null ? null : report.body,
                        report == null ? null : now.minus(report.at)));
            }
        }
        return all;
    }
}
