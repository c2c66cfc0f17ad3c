package merlinlever.driver;

import java.util.IdentityHashMap;
import merlinlever.controller.Decision;
import merlinlever.controller.RequestHandle;

/**
 * Calls the method of a handler for each decision, with the handler's request in place of the controller's handle. This
 * is the only place that tells the kinds of decisions apart in order to carry them out. Not thread-safe.
 *
 * @param <T> the handler's representation of a request
 */
final class DecisionDispatcher<T> {

    private final DecisionHandler<T> handler;
    private final IdentityHashMap<RequestHandle, T> requestsByHandle = new IdentityHashMap<>();

    DecisionDispatcher(DecisionHandler<T> handler) {
        this.handler = handler;
    }

    /** Maps the handle to the handler's request until the handle is released. */
    void register(RequestHandle handle, T request) {
        requestsByHandle.put(handle, request);
    }

    /** Calls the handler's method for the decision. */
    void dispatch(Decision decision) {
        if (decision instanceof Decision.SendBackpressure backpressure) {
            handler.updateBackpressureLevel(backpressure.value());
        } else if (decision instanceof Decision.ReportHealth health) {
            handler.updateHealth(health.healthy());
        } else if (decision instanceof Decision.CloseIdleConnections close) {
            handler.closeIdleConnections(close.idleTimeout());
        } else if (decision instanceof Decision.Log log) {
            handler.log(log.event());
        } else {
            dispatchOnRequest(decision);
        }
    }

    private void dispatchOnRequest(Decision decision) {
        if (decision instanceof Decision.Retain retain) {
            handler.retain(requestOf(retain.request()), retain.retention());
        } else if (decision instanceof Decision.Fail fail) {
            handler.fail(requestOf(fail.request()));
        } else if (decision instanceof Decision.Stop stop) {
            handler.stop(requestOf(stop.request()));
        } else if (decision instanceof Decision.AbandonRun abandon) {
            handler.abandonRun(requestOf(abandon.request()));
        } else if (decision instanceof Decision.Reject reject) {
            handler.reject(requestOf(reject.request()), reject.isFinal(), reject.retryAfter());
        } else if (decision instanceof Decision.Evict evict) {
            handler.evict(requestOf(evict.request()));
        } else if (decision instanceof Decision.Start start) {
            handler.start(requestOf(start.request()));
        } else if (decision instanceof Decision.ShareOutcome share) {
            handler.shareOutcome(requestOf(share.request()));
        } else if (decision instanceof Decision.CallDownstream call) {
            handler.callDownstream(requestOf(call.request()), call.timeout());
        } else if (decision instanceof Decision.SkipCall skip) {
            handler.skipCall(requestOf(skip.request()));
        } else if (decision instanceof Decision.Release release) {
            handler.release(requestsByHandle.remove(release.request()));
        } else {
            throw new IllegalStateException("unknown kind of decision: " + decision);
        }
    }

    private T requestOf(RequestHandle handle) {
        return requestsByHandle.get(handle);
    }
}
