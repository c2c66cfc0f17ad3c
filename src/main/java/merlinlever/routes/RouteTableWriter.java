package merlinlever.routes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.stream.Collectors;
import merlinlever.json.Json;

/** Writes a table as {@link RouteTableReader} reads it, the same text for the same table. */
public final class RouteTableWriter {

    private RouteTableWriter() {}

    public static String write(RouteTable table) {
        StringBuilder text = new StringBuilder("{\"site\":")
                .append(Json.quoted(table.site()))
                .append(",\"incarnation\":")
                .append(table.incarnation())
                .append(",\"sequence\":")
                .append(table.sequence())
                .append(",\"relation\":\"")
                .append(table.relation().wireName())
                .append("\",\"lease-ms\":")
                .append(table.lease().toMillis())
                .append(",\"routes\":[");
        String between = "\n";
        for (Route route : table.routes().values()) {
            text.append(between);
            writeRoute(text, route);
            between = ",\n";
        }
        return text.append("]}\n").toString();
    }

    private static void writeRoute(StringBuilder text, Route route) {
        text.append("{\"tariff\":")
                .append(Json.quoted(route.priorityClass()))
                .append(",\"group\":")
                .append(Json.quoted(route.group()))
                .append(",\"place\":\"")
                .append(route.address())
                .append("\",\"calls\":")
                .append(route.callsPerSecond())
                .append(",\"cost\":")
                .append(route.cost())
                .append(route.allowsNonIdempotent() ? ",\"binding\":true" : "")
                .append(",\"path\":")
                .append(jsonArray(route.path()));
        if (route.onlyToCustomerSite() != null) {
            text.append(",\"down-from\":").append(Json.quoted(route.onlyToCustomerSite()));
        }
        Restrictions restrictions = route.restrictions();
        if (restrictions.unreadable()) {
            text.append(",\"restrictions\":null");
        } else if (!restrictions.equals(Restrictions.NONE)) {
            text.append(",\"restrictions\":{\"no-further\":")
                    .append(restrictions.noExport())
                    .append(restrictions.onlyTo() == null ? "" : ",\"only-to\":" + jsonArray(restrictions.onlyTo()))
                    .append(restrictions.notTo().isEmpty() ? "" : ",\"not-to\":" + jsonArray(restrictions.notTo()))
                    .append(",\"most-sites\":")
                    .append(restrictions.maxSites())
                    .append(restrictions.idempotentOnly() ? ",\"retriable-only\":true" : "")
                    .append(restrictions.customersOnly() ? ",\"customers-only\":true" : "")
                    .append('}');
        }
        text.append('}');
    }

    private static String jsonArray(Collection<String> sites) {
        return sites.stream().map(Json::quoted).collect(Collectors.joining(",", "[", "]"));
    }

    /** For telling two tables of one version apart. */
    public static String digest(RouteTable table) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(write(table).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
