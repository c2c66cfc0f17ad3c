package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import merlinlever.common.WireNamed;

/**
 * Carries orders of operators over to the supervisors. An order has an id, under which it is carried out once however
 * often it is sent. A later order to an instance supersedes an earlier one. At most {@value #MAX_ORDERS} orders are kept,
 * so that their progress can be asked for; the oldest finished ones are forgotten first.
 */
public final class OrderTracker {

    /** What operators can order. */
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

        /** Whether an instance is meant to run after the order. */
        public boolean desiresInstance() {
            return this == START || this == RESTART;
        }
    }

    /** How far an order is with one instance. */
    public enum OrderProgress implements WireNamed {
        UNDER_WAY("under way"),
        DONE("done"),
        /** A later order to the instance has replaced it. */
        SUPERSEDED("superseded"),
        /** The instance crashed too often. */
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

    /** One order and its progress. */
    public static final class Order {
        private final String id;
        private final OrderVerb verb;
        private final List<Integer> instances;
        private final OrderProgress[] progress;
        private final long[] launchesBefore;

        private Order(String id, OrderVerb verb, List<Integer> instances, List<InstanceSupervisor> supervisors) {
            this.id = id;
            this.verb = verb;
            this.instances = List.copyOf(instances);
            progress = new OrderProgress[instances.size()];
            Arrays.fill(progress, OrderProgress.UNDER_WAY);
            launchesBefore = instances.stream()
                    .mapToLong(index -> supervisors.get(index).launches())
                    .toArray();
        }

        /** The id that its sender gave it. */
        public String id() {
            return id;
        }

        /** What was ordered. */
        public OrderVerb verb() {
            return verb;
        }

        /** The indexes of the instances that it is for. */
        public List<Integer> instances() {
            return instances;
        }

        /** How far it is with the instance at that position of {@link #instances}. */
        public OrderProgress progress(int position) {
            return progress[position];
        }

        /** Whether it is under way with none of its instances any more. */
        public boolean isFinished() {
            return Arrays.stream(progress).noneMatch(each -> each == OrderProgress.UNDER_WAY);
        }
    }

    private static final int MAX_ORDERS = 1000;

    private final List<InstanceSupervisor> supervisors;
    private final LinkedHashMap<String, Order> ordersById = new LinkedHashMap<>();

    /** A tracker without orders; they name instances by their index in the list. */
    public OrderTracker(List<InstanceSupervisor> supervisors) {
        this.supervisors = supervisors;
    }

    /** The order of that id, if it is known. */
    public Optional<Order> find(String id) {
        return Optional.ofNullable(ordersById.get(id));
    }

    /** Whether one more order can be accepted; false while as many as are kept are all under way. */
    public boolean hasCapacity() {
        return ordersById.size() < MAX_ORDERS || ordersById.values().stream().anyMatch(Order::isFinished);
    }

    /**
     * Carries an order out. One whose id is known is returned as it stands and not carried out again.
     *
     * @param immediate whether instances that are to end are killed in place of drained
     * @throws IllegalStateException if there is no capacity for a new order
     */
    public Order accept(Duration now, String id, OrderVerb verb, boolean immediate, List<Integer> instances) {
        Order known = ordersById.get(id);
        if (known != null) {
            return known;
        }
        makeRoom();
        supersedeOrdersTo(instances);
        Order order = new Order(id, verb, instances, supervisors);
        ordersById.put(id, order);
        instances.forEach(index -> carryOut(now, verb, immediate, supervisors.get(index)));
        updateProgress(now);
        return order;
    }

    private void makeRoom() {
        while (ordersById.size() >= MAX_ORDERS) {
            Order oldestFinished = ordersById.values().stream()
                    .filter(Order::isFinished)
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("all orders are under way"));
            ordersById.remove(oldestFinished.id);
        }
    }

    private void supersedeOrdersTo(List<Integer> instances) {
        for (Order order : ordersById.values()) {
            for (int i = 0; i < order.progress.length; i++) {
                if (order.progress[i] == OrderProgress.UNDER_WAY && instances.contains(order.instances.get(i))) {
                    order.progress[i] = OrderProgress.SUPERSEDED;
                }
            }
        }
    }

    private static void carryOut(Duration now, OrderVerb verb, boolean immediate, InstanceSupervisor supervisor) {
        switch (verb) {
            case START -> supervisor.start(now);
            case RESTART -> supervisor.restart(now);
            case DRAIN, STOP -> {
                if (immediate) {
                    supervisor.kill();
                } else {
                    supervisor.drain();
                }
            }
        }
    }

    /** Updates the progress of all orders by the states of their instances, and returns those that finished by it. */
    public List<Order> updateProgress(Duration now) {
        List<Order> finished = new ArrayList<>(0);
        for (Order order : ordersById.values()) {
            if (order.isFinished()) {
                continue;
            }
            for (int i = 0; i < order.progress.length; i++) {
                if (order.progress[i] == OrderProgress.UNDER_WAY) {
                    order.progress[i] = currentProgress(now, order, i);
                }
            }
            if (order.isFinished()) {
                finished.add(order);
            }
        }
        return finished;
    }

    private OrderProgress currentProgress(Duration now, Order order, int position) {
        InstanceSupervisor supervisor = supervisors.get(order.instances.get(position));
        if (!order.verb.desiresInstance()) {
            return supervisor.hasProcess() ? OrderProgress.UNDER_WAY : OrderProgress.DONE;
        }
        boolean hasSuccessor = supervisor.launches() > order.launchesBefore[position];
        return switch (supervisor.state(now)) {
            case GIVEN_UP -> OrderProgress.GIVEN_UP;
            case UNMONITORED, COLD, WARM, SLOW -> order.verb == OrderVerb.START || hasSuccessor
                    ? OrderProgress.DONE
                    : OrderProgress.UNDER_WAY;
            case DOWN, STARTING, HUNG, DRAINING, UNREACHABLE -> OrderProgress.UNDER_WAY;
        };
    }
}
