package merlinlever.host.front;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import merlinlever.common.WireNamed;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.InstanceSpec;
import merlinlever.host.run.PeerAgents;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;

/**
 * What the {@code fleet} commands talk to: {@code GET /instances}, {@code GET /events?after=N}, {@code POST /orders},
 * {@code GET /orders/ID}. One message on each connection, with the shared secret in its head.
 */
public final class HostApiServer {

    private static final int CONNECTIONS = 64;
    private static final int MESSAGE = 256 * 1024;
    /** A report that is older says only what was so. */
    private static final Duration OLD = Duration.ofMillis(2500);

    private static final Duration SLOW = Duration.ofSeconds(5);
    private static final Duration LOOK = Duration.ofMillis(500);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop loop;
    private final String host;
    private final HostAgent agent;
    /** Null where there are no other agents to know of. */
    private final PeerAgents neighbours;
    /** Null likewise. */
    private final RecoveryCoordinator rejoin;

    private final byte[] secret;
    private final OrderAdmission desk;
    private final ConnectionAcceptor listener;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    private EventLoop.Timer alarm;

    /** @param secret that each message has to carry */
    public HostApiServer(
            EventLoop loop,
            InetSocketAddress address,
            String host,
            HostAgent agent,
            PeerAgents neighbours,
            RecoveryCoordinator rejoin,
            String secret,
            Duration grace,
            long seed,
            EventLog log)
            throws IOException {
        this.neighbours = neighbours;
        this.rejoin = rejoin;
        this.loop = loop;
        this.host = host;
        this.agent = agent;
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        desk = new OrderAdmission(grace, seed, this::alarm, log);
        listener = new ConnectionAcceptor(loop, address, CONNECTIONS, this::accepted, () -> {});
        listener.accept();
        loop.setAfterBatch(() -> desk.settle(loop.clock().now()));
        loop.runNowAndEvery(LOOK, () -> List.copyOf(open).forEach(ClientConnection::look));
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    private void alarm(Duration at) {
        if (alarm != null) {
            alarm.cancel();
        }
        alarm = loop.schedule(
                at.minus(loop.clock().now()), () -> desk.alarmed(loop.clock().now()));
    }

    public void leave(Duration stop) {
        desk.leave(loop.clock().now(), loop.clock().now().plus(stop));
    }

    public void close() {
        listener.close();
    }

    public boolean answered() {
        return desk.inHand() == 0 && open.stream().allMatch(visit -> visit.written);
    }

    private void accepted(AsynchronousSocketChannel channel) {
        ClientConnection visit = new ClientConnection();
        open.add(visit);
        visit.connection = Connection.accepted(loop, channel, visit, MESSAGE, 8 << 20);
        visit.connection.resumeReading();
    }

    // ---- what is told

    private ObjectNode instance(int index) {
        InstanceSpec one = agent.hosted().get(index);
        InstanceSupervisor keeper = agent.keeper(index);
        Duration now = loop.clock().now();
        ObjectNode node = JSON.createObjectNode()
                .put("name", one.name())
                .put("host", host)
                .put("kind", one.kind())
                .put("state", keeper.state(now).wireName())
                .put("why", keeper.why(now))
                .put("wanted", keeper.wanted())
                .put("pid", agent.pid(index))
                .put("launches", keeper.launches());
        node.set("labels", JSON.valueToTree(one.labels()));
        node.put(
                "heard_ms_ago",
                keeper.heardAgo(now) == null ? null : keeper.heardAgo(now).toMillis());
        node.put("age_ms", keeper.age(now) == null ? null : keeper.age(now).toMillis());
        node.set("told", keeper.told() == null ? JSON.nullNode() : JSON.valueToTree(keeper.told()));
        return node;
    }

    private ObjectNode instances() {
        ObjectNode all = JSON.createObjectNode().put("host", host);
        ArrayNode list = all.putArray("instances");
        for (int i = 0; i < agent.hosted().size(); i++) {
            list.add(instance(i));
        }
        if (rejoin != null) {
            all.putRawValue("recovery", new RawValue(rejoin.statusJson()));
        }
        return all;
    }

    /** All agents that are known, this one first, each with its last report and how old that is. */
    private ObjectNode fleet() throws IOException {
        ObjectNode all = JSON.createObjectNode();
        ArrayNode agents = all.putArray("agents");
        agents.add(instances()
                .put(
                        "api",
                        address().getAddress().getHostAddress() + ":"
                                + address().getPort())
                .put("status", "alive")
                .put("report_ms_ago", 0));
        for (PeerAgents.PeerAgent known : neighbours == null ? List.<PeerAgents.PeerAgent>of() : neighbours.all()) {
            ObjectNode one = agents.addObject()
                    .put("host", known.agent().name())
                    .put("api", known.agent().apiAddress())
                    .put("status", known.agent().status().wireName())
                    .put("status_ms", known.changedAgo().toMillis());
            if (known.report() != null) {
                long ago = known.reportAgo().toMillis();
                one.put("report_ms_ago", ago);
                ArrayNode list = one.putArray("instances");
                for (JsonNode each : known.report().path("instances")) {
                    list.add(aged((ObjectNode) each.deepCopy(), known, ago));
                }
            }
        }
        return all;
    }

    /** An old report says what was so, and no more. */
    private static ObjectNode aged(ObjectNode instance, PeerAgents.PeerAgent known, long ago) {
        if (instance.path("heard_ms_ago").isNumber()) {
            instance.put("heard_ms_ago", instance.path("heard_ms_ago").asLong() + ago);
        }
        if (ago > OLD.toMillis()) {
            instance.put(
                    "why",
                    "its agent " + known.agent().name() + " ("
                            + known.agent().status().wireName() + ") not reached for " + ago
                            + " ms; it was " + instance.path("state").asText() + " then");
            instance.put("state", InstanceSupervisor.InstanceState.UNREACHED.wireName());
        }
        return instance;
    }

    private ObjectNode order(OrderTracker.Order order) {
        ObjectNode node = JSON.createObjectNode()
                .put("id", order.id())
                .put("verb", order.verb().wireName())
                .put("over", order.over());
        ArrayNode each = node.putArray("instances");
        for (int i = 0; i < order.instances().size(); i++) {
            int index = order.instances().get(i);
            InstanceSupervisor keeper = agent.keeper(index);
            each.addObject()
                    .put("name", agent.hosted().get(index).name())
                    .put("end", order.end(i).wireName())
                    .put("state", keeper.state(loop.clock().now()).wireName())
                    .put("why", keeper.why(loop.clock().now()))
                    .put("in_hand", keeper.told() == null ? 0 : keeper.told().inHand());
        }
        return node;
    }

    /** One connection with its one message. */
    private final class ClientConnection implements Connection.Handler {
        private final Duration since = loop.clock().uptime();
        private Connection connection;
        private boolean said, written;

        @Override
        public void onReceived(ByteBuffer in) {
            String text = StandardCharsets.UTF_8.decode(in.duplicate()).toString();
            int head = text.indexOf("\r\n\r\n");
            if (said || head < 0) {
                if (in.remaining() == MESSAGE) {
                    connection.close(CloseReason.PROTOCOL_ERROR);
                }
                return;
            }
            String[] lines = text.substring(0, head).split("\r\n");
            int length = 0;
            boolean known = false;
            for (String line : lines) {
                String low = line.toLowerCase(Locale.ROOT);
                if (low.matches("content-length: *[0-9]{1,6}")) {
                    length =
                            Integer.parseInt(low.substring(low.indexOf(':') + 1).strip());
                } else if (low.startsWith("authorization: bearer ")) {
                    known = MessageDigest.isEqual(line.substring(22).strip().getBytes(StandardCharsets.UTF_8), secret);
                }
            }
            if (text.substring(head + 4).getBytes(StandardCharsets.UTF_8).length < length) {
                return;
            }
            in.position(in.limit());
            said = true;
            String[] words = lines[0].split(" ");
            if (words.length != 3 || !known) {
                say(
                        words.length != 3 ? 400 : 401,
                        error(words.length != 3 ? "not HTTP" : "the secret is missing or another"),
                        Duration.ZERO);
                return;
            }
            asked(words[0], words[1], text.substring(head + 4));
        }

        private void asked(String method, String path, String body) {
            if (method.equals("POST") && path.equals("/orders")) {
                order(body);
            } else if (method.equals("GET") && path.equals("/instances")) {
                look(() -> say(200, instances(), Duration.ZERO));
            } else if (method.equals("GET") && path.equals("/fleet")) {
                look(() -> {
                    if (neighbours == null) {
                        fleetSaid();
                    } else {
                        neighbours.ask(this::fleetSaid);
                    }
                });
            } else if (method.equals("GET") && path.matches("/events(\\?after=[0-9]{1,18})?")) {
                long after = path.indexOf('=') < 0 ? 0 : Long.parseLong(path.substring(path.indexOf('=') + 1));
                look(() -> {
                    ObjectNode all = JSON.createObjectNode()
                            .put("host", host)
                            .put("now_ms", loop.clock().now().toMillis());
                    ArrayNode list = all.putArray("events");
                    agent.events(after).forEach(event -> list.addObject()
                            .put("number", event.number())
                            .put("at_ms", event.at().toMillis())
                            .put("instance", event.instance())
                            .put("what", event.what()));
                    say(200, all, Duration.ZERO);
                });
            } else if (method.equals("GET") && path.startsWith("/orders/")) {
                look(() -> {
                    OrderTracker.Order found = agent.find(path.substring(8));
                    say(
                            found == null ? 404 : 200,
                            found == null ? error("no order of that id is known") : HostApiServer.this.order(found),
                            Duration.ZERO);
                });
            } else {
                say(404, error("nothing is at " + path), Duration.ZERO);
            }
        }

        private void fleetSaid() {
            try {
                say(200, fleet(), Duration.ZERO);
            } catch (IOException e) {
                say(500, error("no address"), Duration.ZERO);
            }
        }

        private void look(Runnable run) {
            desk.came(
                    loop.clock().now(),
                    null,
                    run,
                    stayAway -> say(503, error("turned away, nothing was done"), stayAway));
        }

        private void order(String body) {
            String id;
            OrderTracker.OrderVerb verb;
            boolean atOnce;
            List<Integer> instances = new ArrayList<>();
            try {
                JsonNode node = JSON.readTree(body);
                id = node.path("id").asText();
                verb = WireNamed.parse(
                        OrderTracker.OrderVerb.class, node.path("verb").asText());
                atOnce = node.path("now").asBoolean();
                if (!id.matches("[0-9a-zA-Z-]{8,64}")) {
                    throw new IllegalArgumentException("an order's id has 8 to 64 letters, digits or -");
                }
                for (JsonNode name : node.path("names")) {
                    int index = -1;
                    for (int i = 0; i < agent.hosted().size(); i++) {
                        index = agent.hosted().get(i).name().equals(name.asText()) ? i : index;
                    }
                    if (index < 0) {
                        throw new IllegalArgumentException("no instance " + name.asText() + " here");
                    }
                    if (!instances.contains(index)) {
                        instances.add(index);
                    }
                }
            } catch (IOException | RuntimeException e) {
                say(400, error(e instanceof IOException ? "not JSON" : e.getMessage()), Duration.ZERO);
                return;
            }
            if (agent.behind() && agent.find(id) == null) {
                say(
                        503,
                        error(
                                "this agent was held up, and the order may be an old one; nothing was done, send it again"),
                        Duration.ofSeconds(1));
                return;
            }
            desk.came(
                    loop.clock().now(),
                    id,
                    () -> {
                        if (!agent.room()) {
                            say(503, error("too many orders are under way"), Duration.ofSeconds(1));
                            return;
                        }
                        OrderTracker.Order taken = agent.order(id, verb, atOnce, instances);
                        say(
                                taken == null ? 507 : 200,
                                taken == null
                                        ? error("the agent cannot write its state; the order was not taken")
                                        : HostApiServer.this.order(taken),
                                Duration.ZERO);
                    },
                    stayAway -> say(503, error("turned away, nothing was done"), stayAway));
        }

        private ObjectNode error(String why) {
            return JSON.createObjectNode().put("error", why);
        }

        private void say(int status, JsonNode body, Duration stayAway) {
            byte[] octets = body.toString().getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + (status == 200 ? " OK" : " Not done")
                    + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                    + (stayAway.isZero() ? "" : "Retry-After: " + Math.max(1, stayAway.toSeconds()) + "\r\n")
                    + "Content-Length: " + octets.length + "\r\n\r\n";
            connection.write(StandardCharsets.US_ASCII.encode(head), ByteBuffer.wrap(octets));
        }

        @Override
        public void onFlushed() {
            written = true;
            connection.close(CloseReason.COMPLETED);
        }

        @Override
        public void onClosed(CloseReason how) {
            written = true;
            open.remove(this);
            listener.connectionClosed();
        }

        void look() {
            if (loop.clock().uptime().minus(since).compareTo(SLOW) > 0) {
                connection.close(CloseReason.TIMED_OUT);
            }
        }
    }
}
