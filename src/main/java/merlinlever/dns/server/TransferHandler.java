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

/** Checks and sends zone transfers, either full (AXFR, RFC 5936) or incremental (IXFR, RFC 1995). */
final class TransferHandler {

    private final ImmediateResponder responder;
    private final LongSupplier unixClock;

    /** @param unixClock returns Unix seconds */
    TransferHandler(ImmediateResponder responder, LongSupplier unixClock) {
        this.responder = responder;
        this.unixClock = unixClock;
    }

    /** Returns the transfer to submit to the controller, or empty if the request was answered. The zone may be null. */
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

    /** Checks that AXFR uses a connection, and that IXFR has one SOA record with the requester's version. */
    private static boolean isWellFormed(DnsRequest request) {
        if (request.message().type() == RecordTypes.AXFR) {
            return !request.replyChannel().isDatagram();
        }
        List<UpdateEntry> authority = request.message().authority();
        return authority.size() == 1 && authority.get(0).type() == RecordTypes.SOA;
    }

    /** Sends the transfer; {@code onEnded} receives whether the whole transfer was sent. */
    void send(DnsRequest request, ServedZone zone, Consumer<Boolean> onEnded) {
        ZoneTransfer transfer = request.message().type() == RecordTypes.IXFR
                ? incremental(request, zone)
                : ZoneTransfer.full(request.message(), request.verification(), unixClock, zone.zone());
        request.replyChannel().answer(transfer, onEnded);
    }

    private ZoneTransfer incremental(DnsRequest request, ServedZone served) {
        DnsMessage message = request.message();
        Zone zone = served.zone();
        long requesterSerial = Zone.serial(message.authority().get(0).data());
        boolean isBehind = SerialNumbers.after(zone.serial(), requesterSerial);
        List<Difference> differences = isBehind ? served.history().since(requesterSerial) : List.of();
        if (request.replyChannel().isDatagram() && (differences == null || !differences.isEmpty())) {
            // A datagram holds only the newest SOA; the requester retries over a connection (RFC 1995 section 2).
            differences = List.of();
        }
        if (differences == null || (!differences.isEmpty() && countRecords(differences) > zone.records() + 2)) {
            // The history lacks the requester's version, or exceeds the size of the zone.
            return ZoneTransfer.full(message, request.verification(), unixClock, zone);
        }
        return ZoneTransfer.incremental(message, request.verification(), unixClock, zone, differences);
    }

    private static int countRecords(List<Difference> differences) {
        return differences.stream().mapToInt(Difference::records).sum();
    }
}
