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
 * Dispatches each message: verified by {@link MessageVerifier}, checked by the handler of its kind, then submitted to the
 * overload controller by {@link MessageLifecycle}. Used on the event loop; does no input or output of its own.
 */
public final class RequestProcessor {

    /**
     * Settings of the server that the overload controller needs.
     *
     * @param memoryMb that messages in flight and remembered updates may take, in MiB
     * @param grace after the start of a drain in which new messages are still admitted
     * @param queriesDecided whether the controller admits queries; if not, they are answered at once
     * @param seed of the controller's random numbers
     */
    public record ProcessorSettings(double memoryMb, Duration grace, boolean queriesDecided, long seed) {}

    /**
     * What the server is authoritative for.
     *
     * @param keys whose signatures are accepted
     */
    public record ZonesAndKeys(List<ServedZone> zones, Tsig.TsigKeyRing keys) {}

    /** For how long a signed message can be replayed: the TSIG fudge on either side of its time (RFC 8945). */
    public static final Duration REPLAY_WINDOW = Duration.ofSeconds(2L * Tsig.FUDGE);

    private final ImmediateResponder responder;
    private final MessageVerifier verifier;
    private final QueryHandler queries;
    private final UpdateHandler updates;
    private final MessageLifecycle lifecycle;

    /**
     * A processor for the zones.
     *
     * @param unixClock in seconds
     * @param alarm is told when {@link #wakeUp} is to be called
     */
    public RequestProcessor(
            ZonesAndKeys zonesAndKeys,
            ProcessorSettings settings,
            LongSupplier unixClock,
            EventLog log,
            Consumer<Duration> alarm,
            ZoneServerMetrics metrics) {
        ZoneCatalog zones = new ZoneCatalog(zonesAndKeys.zones);
        ResponseBuilder responses = new ResponseBuilder(unixClock);
        responder = new ImmediateResponder(responses, metrics);
        verifier = new MessageVerifier(zonesAndKeys.keys, unixClock, responder);
        TransferHandler transfers = new TransferHandler(responder, unixClock);
        queries = new QueryHandler(zones, responder, responses, metrics, transfers, settings.queriesDecided);
        updates = new UpdateHandler(zones, responder, unixClock);
        MessageLifecycle.Handlers handlers = new MessageLifecycle.Handlers(queries, updates, transfers);
        lifecycle = new MessageLifecycle(settings, handlers, responses, metrics, log, alarm);
    }

    /** Messages that were submitted to the controller and not yet answered. */
    public int inFlight() {
        return lifecycle.inFlight();
    }

    /** The metrics of the overload controller. */
    public ControllerMetrics controllerMetrics() {
        return lifecycle.controllerMetrics();
    }

    /**
     * Processes one message.
     *
     * @param readDelay for which it waited to be read
     * @return the message while it is pending; null where it was answered or dropped
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
                // This server has no primary that could notify it.
            case NOTIFY -> refuse(request, DynamicUpdate.REFUSED);
            default -> refuse(request, DynamicUpdate.NOTIMP);
        };
    }

    private Optional<PendingMessage> refuse(DnsRequest request, int code) {
        responder.answer(request, code);
        return Optional.empty();
    }

    /** The connection of a pending message is closed. */
    void clientDisconnected(Duration at, PendingMessage pending) {
        lifecycle.clientDisconnected(at, pending);
    }

    /** The time of the alarm has come. */
    public void wakeUp(Duration at) {
        lifecycle.wakeUp(at);
    }

    /** Starts the drain; the process stops after {@code stop}, a time since start. */
    public void startDrain(Duration at, Duration stop) {
        lifecycle.startDrain(at, stop);
    }

    /** Lets the controller decide; to be called after each batch of events. */
    public void decide(Duration at) {
        lifecycle.decide(at);
    }
}
