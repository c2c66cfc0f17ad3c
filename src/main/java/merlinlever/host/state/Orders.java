package merlinlever.host.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.WireNamed;

/**
 * Orders of operators, each done once whatever number of times it is sent: its id says which it is. What has happened to
 * each is kept for as many as there is room; a later order to the same instance takes the place of an earlier one, which
 * is told so.
 */
public final class Orders {

    /** What operators ask for. */
    public enum Verb implements WireNamed {
        START("start"),
        DRAIN("drain"),
        STOP("stop"),
        RESTART("restart");

        private final String wireName;

        Verb(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** How far an order is with one instance. */
    public enum End implements WireNamed {
        UNDER_WAY("under way"),
        DONE("done"),
        SUPERSEDED("superseded"),
        GIVEN_UP("given up");

        private final String wireName;

        End(String wireName) {
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
        private final Verb verb;
        private final boolean now;
        private final List<Integer> instances;
        private final End[] ends;
        private final long[] launchesBefore;

        private Order(String id, Verb verb, boolean now, List<Integer> instances, List<Keeper> keepers) {
            this.id = id;
            this.verb = verb;
            this.now = now;
            this.instances = List.copyOf(instances);
            ends = new End[instances.size()];
            java.util.Arrays.fill(ends, End.UNDER_WAY);
            launchesBefore =
                    instances.stream().mapToLong(i -> keepers.get(i).launches()).toArray();
        }

        public String id() {
            return id;
        }

        public Verb verb() {
            return verb;
        }

        public boolean now() {
            return now;
        }

        public List<Integer> instances() {
            return instances;
        }

        public End end(int place) {
            return ends[place];
        }

        public boolean over() {
            for (End end : ends) {
                if (end == End.UNDER_WAY) {
                    return false;
                }
            }
            return true;
        }
    }

    private static final int MOST = 1000;

    private final List<Keeper> keepers;
    private final LinkedHashMap<String, Order> byId = new LinkedHashMap<>();

    public Orders(List<Keeper> keepers) {
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
    public Order take(java.time.Duration at, String id, Verb verb, boolean now, List<Integer> instances) {
        Order known = byId.get(id);
        if (known != null) {
            return known;
        }
        while (byId.size() >= MOST) {
            byId.values().stream().filter(Order::over).findFirst().ifPresent(over -> byId.remove(over.id));
        }
        for (Order other : byId.values()) {
            for (int i = 0; i < other.ends.length; i++) {
                if (other.ends[i] == End.UNDER_WAY && instances.contains(other.instances.get(i))) {
                    other.ends[i] = End.SUPERSEDED;
                }
            }
        }
        Order order = new Order(id, verb, now, instances, keepers);
        byId.put(id, order);
        for (int index : instances) {
            Keeper keeper = keepers.get(index);
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
                if (order.ends[i] == End.UNDER_WAY) {
                    order.ends[i] = end(at, order, i);
                }
            }
            if (!before && order.over()) {
                ended.add(order);
            }
        }
        return ended;
    }

    private End end(java.time.Duration at, Order order, int place) {
        Keeper keeper = keepers.get(order.instances.get(place));
        Keeper.State state = keeper.state(at);
        boolean serving = state == Keeper.State.COLD
                || state == Keeper.State.WARM
                || state == Keeper.State.SLOW
                || state == Keeper.State.THERE;
        return switch (order.verb) {
            case START -> state == Keeper.State.GIVEN_UP ? End.GIVEN_UP : serving ? End.DONE : End.UNDER_WAY;
            case RESTART -> state == Keeper.State.GIVEN_UP
                    ? End.GIVEN_UP
                    : serving && keeper.launches() > order.launchesBefore[place] ? End.DONE : End.UNDER_WAY;
            default -> keeper.there() ? End.UNDER_WAY : End.DONE;
        };
    }
}
