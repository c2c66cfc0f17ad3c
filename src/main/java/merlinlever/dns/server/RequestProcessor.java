package merlinlever.dns.server;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.common.log.EventLog;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.wire.Tsig;
import merlinlever.policy.ControllerMetrics;

/**
 * Dispatches each message: {@link MessageVerifier} verifies the message, the handler of its kind checks the request,
 * and {@link MessageLifecycle} submits it to the overload controller. Used on the event loop; performs no I/O itself.
 */
public final class RequestProcessor {

    /**
     * Settings of the request processing.
     *
     * @param memoryMb the memory limit for messages in flight and remembered updates, in MiB
     * @param grace the period after the start of a drain in which new messages are still admitted
     * @param controlsQueries whether queries are subject to admission by the controller
     * @param seed the seed of the controller's random numbers
     */
    public record ProcessorSettings(double memoryMb, Duration grace, boolean controlsQueries, long seed) {}

    /**
     * The served zones and the accepted keys.
     *
     * @param zones the zones that the server is authoritative for
     * @param keys the keys whose signatures are accepted
     */
    public record ZonesAndKeys(List<ServedZone> zones, Tsig.TsigKeyRing keys) {}

    /** Period in which a signed message can be replayed: the TSIG fudge on both sides of its time (RFC 8945). */
    public static final Duration REPLAY_WINDOW = Duration.ofSeconds(2L * Tsig.FUDGE);

    private final ImmediateResponder responder;
    private final MessageVerifier verifier;
    private final QueryHandler queries;
    private final UpdateHandler updates;
    private final MessageLifecycle lifecycle;

    /**
     * Creates a processor for the zones.
     *
     * @param unixClock returns Unix seconds
     * @param wakeUpScheduler receives the time at which {@link #wakeUp} is to be called
     */
    public RequestProcessor(
            ZonesAndKeys zonesAndKeys,
            ProcessorSettings settings,
            LongSupplier unixClock,
            EventLog log,
            Consumer<Duration> wakeUpScheduler,
            ZoneServerMetrics metrics) {
        ZoneCatalog zones = new ZoneCatalog(zonesAndKeys.zones);
        ResponseBuilder responses = new ResponseBuilder(unixClock);
        responder = new ImmediateResponder(responses, metrics);
        verifier = new MessageVerifier(zonesAndKeys.keys, unixClock, responder);
        TransferHandler transfers = new TransferHandler(responder, unixClock);
        queries = new QueryHandler(zones, responder, responses, metrics, transfers, settings.controlsQueries);
        updates = new UpdateHandler(zones, responder, unixClock);
        MessageLifecycle.Handlers handlers = new MessageLifecycle.Handlers(queries, updates, transfers);
        lifecycle = new MessageLifecycle(settings, handlers, responses, metrics, log, wakeUpScheduler);
    }

    /** Returns the number of messages that were submitted to the controller and have no response yet. */
    public int inFlight() {
        return lifecycle.inFlight();
    }

    /** Returns the metrics of the overload controller. */
    public ControllerMetrics controllerMetrics() {
        return lifecycle.controllerMetrics();
    }

    /**
     * Processes one message.
     *
     * @param readDelay the time that the message waited to be read
     * @return the pending message, or null if the message was answered at once or dropped
     */
    PendingMessage receive(Duration at, byte[] octets, Duration readDelay, ReplyChannel replyChannel) {
        lifecycle.setTime(at);
        Optional<PendingMessage> pending = verifier.verify(octets, replyChannel).flatMap(this::prepare);
        pending.ifPresent(submitted -> lifecycle.submit(submitted, readDelay));
        return pending.orElse(null);
    }

    private Optional<PendingMessage> prepare(DnsRequest request) {
        return switch (request.message().opcode()) {
            case QUERY -> queries.prepare(request);
            case UPDATE -> updates.prepare(request);
                // The server is never a secondary, hence no primary notifies it.
            case NOTIFY -> refuse(request, DynamicUpdate.REFUSED);
            default -> refuse(request, DynamicUpdate.NOTIMP);
        };
    }

    private Optional<PendingMessage> refuse(DnsRequest request, int code) {
        responder.answer(request, code);
        return Optional.empty();
    }

    /** Handles the disconnection of the client of a pending message. */
    void clientDisconnected(Duration at, PendingMessage pending) {
        lifecycle.clientDisconnected(at, pending);
    }

    /** Runs the scheduled wake-up of the controller. */
    public void wakeUp(Duration at) {
        lifecycle.wakeUp(at);
    }

    /** Starts the drain; the process stops at {@code stop}. */
    public void startDrain(Duration at, Duration stop) {
        lifecycle.startDrain(at, stop);
    }

    /** Lets the controller decide; called after each batch of events. */
    public void decide(Duration at) {
        lifecycle.decide(at);
    }
}
