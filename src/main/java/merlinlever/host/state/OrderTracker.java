package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import merlinlever.common.WireNamed;

/**
 * Applies orders of operators to the supervisors and tracks their progress. Each order has an id, and repeated orders
 * with the same id are applied once. A later order for an instance supersedes an earlier order. The tracker keeps at
 * most {@value #MAX_ORDERS} orders for progress queries, and evicts the oldest finished order first.
 */
public final class OrderTracker {

    /** Kind of an order. */
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

        /** Returns whether the order sets the desired state of its instances to running. */
        public boolean desiresInstance() {
            return this == START || this == RESTART;
        }
    }

    /** Progress of an order for one instance. */
    public enum OrderProgress implements WireNamed {
        UNDER_WAY("under way"),
        DONE("done"),
        /** A later order for the instance has replaced the order. */
        SUPERSEDED("superseded"),
        /** The instance crashed too often and is not launched again. */
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

    /** An order and its progress. */
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

        /** Returns the id assigned by the sender. */
        public String id() {
            return id;
        }

        /** Returns the kind of the order. */
        public OrderVerb verb() {
            return verb;
        }

        /** Returns the indexes of the instances that the order applies to. */
        public List<Integer> instances() {
            return instances;
        }

        /** Returns the progress for the instance at the given position of {@link #instances}. */
        public OrderProgress progress(int position) {
            return progress[position];
        }

        /** Returns whether the order is no longer under way for any instance. */
        public boolean isFinished() {
            return Arrays.stream(progress).noneMatch(state -> state == OrderProgress.UNDER_WAY);
        }
    }

    private static final int MAX_ORDERS = 1000;

    private final List<InstanceSupervisor> supervisors;
    private final LinkedHashMap<String, Order> ordersById = new LinkedHashMap<>();

    /** Creates a tracker without orders; orders refer to instances by their index in the list. */
    public OrderTracker(List<InstanceSupervisor> supervisors) {
        this.supervisors = supervisors;
    }

    /** Returns the order with the given id, or empty for an unknown id. */
    public Optional<Order> find(String id) {
        return Optional.ofNullable(ordersById.get(id));
    }

    /** Returns whether another order can be accepted; false if all {@value #MAX_ORDERS} orders are under way. */
    public boolean hasCapacity() {
        return ordersById.size() < MAX_ORDERS || ordersById.values().stream().anyMatch(Order::isFinished);
    }

    /**
     * Applies an order. If an order with the same id exists, returns the existing order and applies nothing.
     *
     * @param immediate whether a drain or stop order kills the instances instead of draining them
     * @throws IllegalStateException without capacity for a new order
     */
    public Order accept(Duration now, String id, OrderVerb verb, boolean immediate, List<Integer> instances) {
        Order existing = ordersById.get(id);
        if (existing != null) {
            return existing;
        }
        evictFinishedOrders();
        supersedeOrdersFor(instances);
        Order order = new Order(id, verb, instances, supervisors);
        ordersById.put(id, order);
        instances.forEach(index -> apply(now, verb, immediate, supervisors.get(index)));
        updateProgress(now);
        return order;
    }

    private void evictFinishedOrders() {
        while (ordersById.size() >= MAX_ORDERS) {
            Order oldestFinished = ordersById.values().stream()
                    .filter(Order::isFinished)
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("all orders are under way"));
            ordersById.remove(oldestFinished.id);
        }
    }

    private void supersedeOrdersFor(List<Integer> instances) {
        for (Order order : ordersById.values()) {
            for (int i = 0; i < order.progress.length; i++) {
                if (order.progress[i] == OrderProgress.UNDER_WAY && instances.contains(order.instances.get(i))) {
                    order.progress[i] = OrderProgress.SUPERSEDED;
                }
            }
        }
    }

    private static void apply(Duration now, OrderVerb verb, boolean immediate, InstanceSupervisor supervisor) {
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

    /** Updates the progress of all orders from the states of their instances, and returns the newly finished orders. */
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
