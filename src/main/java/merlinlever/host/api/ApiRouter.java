package merlinlever.host.api;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.InstanceSpec;
import merlinlever.host.run.PeerAgents;
import merlinlever.host.state.OrderTracker;

/**
 * Routes API requests to their handlers: {@code GET /instances}, {@code GET /fleet}, {@code GET /events?after=N},
 * {@code POST /orders} and {@code GET /orders/ID}. A handler runs when the overload controller admits the request.
 */
final class ApiRouter {

    private static final String ORDERS = "/orders";
    private static final String ORDER_PREFIX = "/orders/";
    private static final String EVENTS = "/events";
    private static final String EVENTS_AFTER = "/events?after=";
    private static final Duration ORDER_RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final HostAgent agent;
    private final Optional<PeerAgents> peers;
    private final OrderAdmission admission;
    private final ReportRenderer reports;
    private final ConnectionAcceptor acceptor;

    /**
     * @param peers other agents; empty if none are configured
     * @param acceptor acceptor of the API connections
     */
    ApiRouter(
            EventLoop loop,
            HostAgent agent,
            Optional<PeerAgents> peers,
            OrderAdmission admission,
            ReportRenderer reports,
            ConnectionAcceptor acceptor) {
        this.loop = loop;
        this.agent = agent;
        this.peers = peers;
        this.admission = admission;
        this.reports = reports;
        this.acceptor = acceptor;
    }

    /** Handles a request. The response may be passed to the callback later. */
    void handle(ApiRequest request, Consumer<ApiResponse> response) {
        if (request.isPost(ORDERS)) {
            handleOrder(request.body(), response);
        } else if (request.isGet("/instances")) {
            admitQuery(response, () -> response.accept(ApiResponse.ok(reports.instances())));
        } else if (request.isGet("/fleet")) {
            admitQuery(response, () -> handleFleet(response));
        } else if (isEventsRequest(request)) {
            long after = request.path().equals(EVENTS)
                    ? 0
                    : Long.parseLong(request.path().substring(EVENTS_AFTER.length()));
            admitQuery(response, () -> response.accept(ApiResponse.ok(reports.events(after))));
        } else if (request.isGetBelow(ORDER_PREFIX)) {
            String id = request.path().substring(ORDER_PREFIX.length());
            admitQuery(response, () -> response.accept(orderProgress(id)));
        } else {
            response.accept(ApiResponse.notFound("no resource at " + request.path()));
        }
    }

    private static boolean isEventsRequest(ApiRequest request) {
        return request.isGetBelow(EVENTS) && request.path().matches("/events(\\?after=[0-9]{1,18})?");
    }

    private void admitQuery(Consumer<ApiResponse> response, Runnable handler) {
        admission.submit(
                loop.clock().now(), Optional.empty(), handler, retryAfter -> response.accept(rejected(retryAfter)));
    }

    private static ApiResponse rejected(Duration retryAfter) {
        return ApiResponse.unavailable(
                "request rejected because of overload or shutdown; nothing was changed", retryAfter);
    }

    private void handleFleet(Consumer<ApiResponse> response) {
        peers.ifPresentOrElse(
                agents -> agents.refresh(() -> response.accept(fleet(agents.all()))),
                () -> response.accept(fleet(List.of())));
    }

    private ApiResponse fleet(List<PeerAgents.PeerAgent> others) {
        try {
            InetSocketAddress address = acceptor.address();
            String apiAddress = address.getAddress().getHostAddress() + ":" + address.getPort();
            return ApiResponse.ok(reports.fleet(apiAddress, others));
        } catch (IOException e) {
            return ApiResponse.internalError("the address of the API is unknown");
        }
    }

    private ApiResponse orderProgress(String id) {
        return agent.findOrder(id)
                .map(order -> ApiResponse.ok(reports.order(order)))
                .orElseGet(() -> ApiResponse.notFound("no order with this id"));
    }

    private void handleOrder(String body, Consumer<ApiResponse> response) {
        OrderRequest order;
        try {
            order = OrderRequest.parse(
                    body, agent.specs().stream().map(InstanceSpec::name).toList());
        } catch (IllegalArgumentException e) {
            response.accept(ApiResponse.badRequest(e.getMessage()));
            return;
        }
        if (agent.mayInputBeStale() && agent.findOrder(order.id()).isEmpty()) {
            response.accept(ApiResponse.unavailable(
                    "the agent was paused and the order may be outdated; nothing was changed, send the order again",
                    ORDER_RETRY_AFTER));
            return;
        }
        admission.submit(
                loop.clock().now(),
                Optional.of(order.id()),
                () -> response.accept(accept(order)),
                retryAfter -> response.accept(rejected(retryAfter)));
    }

    private ApiResponse accept(OrderRequest request) {
        if (!agent.hasOrderCapacity()) {
            return ApiResponse.unavailable("too many orders are under way", ORDER_RETRY_AFTER);
        }
        Optional<OrderTracker.Order> accepted =
                agent.accept(request.id(), request.verb(), request.immediate(), request.instances());
        return accepted.map(order -> ApiResponse.ok(reports.order(order)))
                .orElseGet(() -> ApiResponse.insufficientStorage(
                        "the agent cannot write its state; the order was not accepted"));
    }
}
