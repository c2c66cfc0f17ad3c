package merlinlever.driver;

import java.util.IdentityHashMap;
import merlinlever.controller.Decision;
import merlinlever.controller.RequestHandle;

/**
 * Passes decisions to a handler, with the handler's own request in place of the controller's handle. This is the only
 * place that distinguishes the kinds of decisions to carry them out. Not thread-safe.
 *
 * @param <T> how the handler names a request
 */
final class DecisionDispatcher<T> {

    private final DecisionHandler<T> handler;
    private final IdentityHashMap<RequestHandle, T> requestsByHandle = new IdentityHashMap<>();

    DecisionDispatcher(DecisionHandler<T> handler) {
        this.handler = handler;
    }

    /** From now on until its release, decisions about the handle concern this request. */
    void register(RequestHandle handle, T request) {
        requestsByHandle.put(handle, request);
    }

    /** Calls the method of the handler for the decision. */
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
            throw new IllegalStateException("unhandled kind of decision: " + decision);
        }
    }

    private T requestOf(RequestHandle handle) {
        return requestsByHandle.get(handle);
    }
}
