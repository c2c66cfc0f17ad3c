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

    public static String text(RouteTable table) {
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
            route(text, route);
            between = ",\n";
        }
        return text.append("]}\n").toString();
    }

    private static void route(StringBuilder text, Route route) {
        text.append("{\"tariff\":")
                .append(Json.quoted(route.tariff()))
                .append(",\"group\":")
                .append(Json.quoted(route.group()))
                .append(",\"place\":\"")
                .append(route.place())
                .append("\",\"calls\":")
                .append(route.calls())
                .append(",\"cost\":")
                .append(route.cost())
                .append(route.binding() ? ",\"binding\":true" : "")
                .append(",\"path\":")
                .append(list(route.path()));
        if (route.downFrom() != null) {
            text.append(",\"down-from\":").append(Json.quoted(route.downFrom()));
        }
        Restrictions its = route.restrictions();
        if (its.unreadable()) {
            text.append(",\"restrictions\":null");
        } else if (!its.equals(Restrictions.NONE)) {
            text.append(",\"restrictions\":{\"no-further\":")
                    .append(its.noFurther())
                    .append(its.onlyTo() == null ? "" : ",\"only-to\":" + list(its.onlyTo()))
                    .append(its.notTo().isEmpty() ? "" : ",\"not-to\":" + list(its.notTo()))
                    .append(",\"most-sites\":")
                    .append(its.mostSites())
                    .append(its.retriableOnly() ? ",\"retriable-only\":true" : "")
                    .append(its.customersOnly() ? ",\"customers-only\":true" : "")
                    .append('}');
        }
        text.append('}');
    }

    private static String list(Collection<String> sites) {
        return sites.stream().map(Json::quoted).collect(Collectors.joining(",", "[", "]"));
    }

    /** For telling two tables of one version apart. */
    public static String digest(RouteTable table) {
        try {
            byte[] all = MessageDigest.getInstance("SHA-256").digest(text(table).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(all, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
