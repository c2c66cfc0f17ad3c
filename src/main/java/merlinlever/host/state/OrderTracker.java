package merlinlever.host.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.WireNamed;

/**
 * Orders of operators, each done once whatever number of times it is sent: its id says which it is. What has happened to
 * each is kept for as many as there is room; a later order to the same instance takes the place of an earlier one, which
 * is told so.
 */
public final class OrderTracker {

    /** What operators ask for. */
    public enum OrderVerb implements WireNamed {
        START("start"),
        DRAIN("drain"),
        STOP("stop"),
        RESTART("restart");

        private final String wireName;

        OrderVerb(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** How far an order is with one instance. */
    public enum OrderProgress implements WireNamed {
        UNDER_WAY("under way"),
        DONE("done"),
        SUPERSEDED("superseded"),
        GIVEN_UP("given up");

        private final String wireName;

        OrderProgress(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** One order. */
    public static final class Order {
        private final String id;
        private final OrderVerb verb;
        private final boolean now;
        private final List<Integer> instances;
        private final OrderProgress[] ends;
        private final long[] launchesBefore;

        private Order(
                String id, OrderVerb verb, boolean now, List<Integer> instances, List<InstanceSupervisor> keepers) {
            this.id = id;
            this.verb = verb;
            this.now = now;
            this.instances = List.copyOf(instances);
            ends = new OrderProgress[instances.size()];
            java.util.Arrays.fill(ends, OrderProgress.UNDER_WAY);
            launchesBefore =
                    instances.stream().mapToLong(i -> keepers.get(i).launches()).toArray();
        }

        public String id() {
            return id;
        }

        public OrderVerb verb() {
            return verb;
        }

        public boolean now() {
            return now;
        }

        public List<Integer> instances() {
            return instances;
        }

        public OrderProgress end(int place) {
            return ends[place];
        }

        public boolean over() {
            for (OrderProgress end : ends) {
                if (end == OrderProgress.UNDER_WAY) {
                    return false;
                }
            }
            return true;
        }
    }

    private static final int MOST = 1000;

    private final List<InstanceSupervisor> keepers;
    private final LinkedHashMap<String, Order> byId = new LinkedHashMap<>();

    public OrderTracker(List<InstanceSupervisor> keepers) {
        this.keepers = keepers;
    }

    /** The order of that id, or null. */
    public Order find(String id) {
        return byId.get(id);
    }

    /** Whether one more can be taken: all that are kept may be under way. */
    public boolean room() {
        return byId.size() < MOST || byId.values().stream().anyMatch(Order::over);
    }

    /** Takes an order; one whose id is known is not done again, and what has become of it is returned. */
    public Order take(java.time.Duration at, String id, OrderVerb verb, boolean now, List<Integer> instances) {
        Order known = byId.get(id);
        if (known != null) {
            return known;
        }
        while (byId.size() >= MOST) {
            byId.values().stream().filter(Order::over).findFirst().ifPresent(over -> byId.remove(over.id));
        }
        for (Order other : byId.values()) {
            for (int i = 0; i < other.ends.length; i++) {
                if (other.ends[i] == OrderProgress.UNDER_WAY && instances.contains(other.instances.get(i))) {
                    other.ends[i] = OrderProgress.SUPERSEDED;
                }
            }
        }
        Order order = new Order(id, verb, now, instances, keepers);
        byId.put(id, order);
        for (int index : instances) {
            InstanceSupervisor keeper = keepers.get(index);
            switch (verb) {
                case START -> keeper.start(at);
                case RESTART -> keeper.restart(at);
                default -> {
                    if (now) {
                        keeper.kill(at);
                    } else {
                        keeper.leave(at);
                    }
                }
            }
        }
        look(at);
        return order;
    }

    /** Sees how far all are, by what is so of their instances. Returns those that ended with this look. */
    public List<Order> look(java.time.Duration at) {
        List<Order> ended = new ArrayList<>(0);
        for (Map.Entry<String, Order> entry : byId.entrySet()) {
            Order order = entry.getValue();
            boolean before = order.over();
            for (int i = 0; i < order.ends.length; i++) {
                if (order.ends[i] == OrderProgress.UNDER_WAY) {
                    order.ends[i] = end(at, order, i);
                }
            }
            if (!before && order.over()) {
                ended.add(order);
            }
        }
        return ended;
    }

    private OrderProgress end(java.time.Duration at, Order order, int place) {
        InstanceSupervisor keeper = keepers.get(order.instances.get(place));
        InstanceSupervisor.InstanceState state = keeper.state(at);
        boolean serving = state == InstanceSupervisor.InstanceState.COLD
                || state == InstanceSupervisor.InstanceState.WARM
                || state == InstanceSupervisor.InstanceState.SLOW
                || state == InstanceSupervisor.InstanceState.THERE;
        return switch (order.verb) {
            case START -> state == InstanceSupervisor.InstanceState.GIVEN_UP
                    ? OrderProgress.GIVEN_UP
                    : serving ? OrderProgress.DONE : OrderProgress.UNDER_WAY;
            case RESTART -> state == InstanceSupervisor.InstanceState.GIVEN_UP
                    ? OrderProgress.GIVEN_UP
                    : serving && keeper.launches() > order.launchesBefore[place]
                            ? OrderProgress.DONE
                            : OrderProgress.UNDER_WAY;
            default -> keeper.there() ? OrderProgress.UNDER_WAY : OrderProgress.DONE;
        };
    }
}
