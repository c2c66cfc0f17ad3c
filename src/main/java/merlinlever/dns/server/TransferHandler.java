package merlinlever.dns.server;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.SerialNumbers;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.DnsMessage;

/** Checks zone transfers and sends them, whole (AXFR, RFC 5936) or as differences (IXFR, RFC 1995). */
final class TransferHandler {

    private final ImmediateResponder responder;
    private final LongSupplier unixClock;

    /** @param unixClock in seconds */
    TransferHandler(ImmediateResponder responder, LongSupplier unixClock) {
        this.responder = responder;
        this.unixClock = unixClock;
    }

    /** The transfer to submit to the controller; empty where it was answered. The zone may be null. */
    Optional<PendingMessage> prepare(DnsRequest request, ServedZone zone) {
        if (zone == null || !Arrays.equals(zone.origin(), request.message().name())) {
            responder.answer(request, DynamicUpdate.NOTAUTH);
            return Optional.empty();
        }
        if (request.keyName() == null || !zone.mayTransfer(request.keyName())) {
            responder.answer(request, DynamicUpdate.REFUSED);
            return Optional.empty();
        }
        if (!isWellFormed(request)) {
            responder.answer(request, DynamicUpdate.FORMERR);
            return Optional.empty();
        }
        return Optional.of(new PendingMessage(PendingMessage.MessageKind.TRANSFER, zone, request));
    }

    /** AXFR needs a connection; IXFR states the requester's version in one SOA record. */
    private static boolean isWellFormed(DnsRequest request) {
        if (request.message().type() == RecordTypes.AXFR) {
            return !request.replyChannel().isDatagram();
        }
        List<UpdateEntry> authority = request.message().authority();
        return authority.size() == 1 && authority.get(0).type() == RecordTypes.SOA;
    }

    /** Sends the transfer; {@code done} is told whether all of it was sent. */
    void send(DnsRequest request, ServedZone zone, Consumer<Boolean> done) {
        ZoneTransfer transfer = request.message().type() == RecordTypes.IXFR
                ? incremental(request, zone)
                : ZoneTransfer.full(request.message(), request.verification(), unixClock, zone.zone());
        request.replyChannel().answer(transfer, done);
    }

    private ZoneTransfer incremental(DnsRequest request, ServedZone served) {
        DnsMessage message = request.message();
        Zone zone = served.zone();
        long requesterSerial = Zone.serial(message.authority().get(0).data());
        boolean isBehind = SerialNumbers.after(zone.serial(), requesterSerial);
        List<Difference> differences = isBehind ? served.history().since(requesterSerial) : List.of();
        if (request.replyChannel().isDatagram() && (differences == null || !differences.isEmpty())) {
            // A datagram holds the newest SOA alone; the requester comes again over a connection (RFC 1995 section 2).
            differences = List.of();
        }
        if (differences == null || (!differences.isEmpty() && records(differences) > zone.records() + 2)) {
            // The history does not reach back so far, or is longer than the zone.
            return ZoneTransfer.full(message, request.verification(), unixClock, zone);
        }
        return ZoneTransfer.incremental(message, request.verification(), unixClock, zone, differences);
    }

    private static int records(List<Difference> differences) {
        return differences.stream().mapToInt(Difference::records).sum();
    }
}
