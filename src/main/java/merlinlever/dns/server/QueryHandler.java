package merlinlever.dns.server;

import java.util.Optional;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.Lookup;
import merlinlever.dns.wire.DnsMessage;

/** Checks queries and answers them from the published version of their zone (RFC 1034 section 4.3). */
final class QueryHandler {

    private final ZoneCatalog zones;
    private final ImmediateResponder responder;
    private final ResponseBuilder responses;
    private final ZoneServerMetrics metrics;
    private final TransferHandler transfers;
    private final boolean controlsQueries;

    /** @param controlsQueries whether queries are subject to admission by the overload controller */
    QueryHandler(
            ZoneCatalog zones,
            ImmediateResponder responder,
            ResponseBuilder responses,
            ZoneServerMetrics metrics,
            TransferHandler transfers,
            boolean controlsQueries) {
        this.zones = zones;
        this.responder = responder;
        this.responses = responses;
        this.metrics = metrics;
        this.transfers = transfers;
        this.controlsQueries = controlsQueries;
    }

    /** Returns the query or zone transfer to submit to the controller, or empty if the request was answered. */
    Optional<PendingMessage> prepare(DnsRequest request) {
        DnsMessage message = request.message();
        if (!message.hasQuestion() || message.isTruncated()) {
            responder.answer(request, DynamicUpdate.FORMERR);
            return Optional.empty();
        }
        ServedZone zone = zones.closest(message.name(), message.dclass());
        int type = message.type();
        if (type == RecordTypes.AXFR || type == RecordTypes.IXFR) {
            return transfers.prepare(request, zone);
        }
        if (zone == null) {
            responder.answer(request, DynamicUpdate.REFUSED);
            return Optional.empty();
        }
        if (type != RecordTypes.ANY && RecordTypes.isMeta(type)) {
            responder.answer(request, DynamicUpdate.NOTIMP);
            return Optional.empty();
        }
        if (!controlsQueries) {
            request.replyChannel().answer(response(request, zone));
            metrics.served(PendingMessage.MessageKind.QUERY);
            return Optional.empty();
        }
        return Optional.of(new PendingMessage(PendingMessage.MessageKind.QUERY, zone, request));
    }

    /** Builds the response to a query. */
    byte[] response(DnsRequest request, ServedZone zone) {
        DnsMessage message = request.message();
        Lookup.Answer found = Lookup.find(zone.zone(), message.name(), message.type());
        boolean isDatagram = request.replyChannel().isDatagram();
        return responses.answer(message, request.verification(), found, isDatagram);
    }
}
