package merlinlever.fleet.routes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.stream.Collectors;
import merlinlever.common.json.Json;

/** Writes a table as JSON for {@link RouteTableReader}. Equal tables have the same text. */
public final class RouteTableWriter {

    private static final int DIGEST_BYTES = 16;

    private RouteTableWriter() {}

    /** Returns the table as JSON text with one route per line. */
    public static String write(RouteTable table) {
        StringBuilder text = new StringBuilder();
        text.append("{\"site\":").append(Json.quote(table.site()));
        text.append(",\"incarnation\":").append(table.incarnation());
        text.append(",\"sequence\":").append(table.sequence());
        text.append(",\"relation\":\"").append(table.relation().wireName());
        text.append("\",\"lease-ms\":").append(table.lease().toMillis());
        text.append(",\"routes\":[");
        String separator = "\n";
        for (Route route : table.routes().values()) {
            text.append(separator);
            writeRoute(text, route);
            separator = ",\n";
        }
        return text.append("]}\n").toString();
    }

    private static void writeRoute(StringBuilder text, Route route) {
        text.append("{\"tariff\":").append(Json.quote(route.priorityClass()));
        text.append(",\"group\":").append(Json.quote(route.group()));
        text.append(",\"place\":\"").append(route.address());
        text.append("\",\"calls\":").append(route.callsPerSecond());
        text.append(",\"cost\":").append(route.cost());
        if (route.allowsNonIdempotent()) {
            text.append(",\"binding\":true");
        }
        text.append(",\"path\":").append(jsonArray(route.path()));
        if (route.onlyToCustomerSite() != null) {
            text.append(",\"down-from\":").append(Json.quote(route.onlyToCustomerSite()));
        }
        writeRestrictions(text, route.restrictions());
        text.append('}');
    }

    private static void writeRestrictions(StringBuilder text, Restrictions restrictions) {
        if (restrictions.unreadable()) {
            text.append(",\"restrictions\":null");
            return;
        }
        if (restrictions.equals(Restrictions.NONE)) {
            return;
        }
        text.append(",\"restrictions\":{\"no-further\":").append(restrictions.noExport());
        if (restrictions.allowedSites() != null) {
            text.append(",\"only-to\":").append(jsonArray(restrictions.allowedSites()));
        }
        if (!restrictions.deniedSites().isEmpty()) {
            text.append(",\"not-to\":").append(jsonArray(restrictions.deniedSites()));
        }
        text.append(",\"most-sites\":").append(restrictions.maxPathLength());
        if (restrictions.idempotentOnly()) {
            text.append(",\"retriable-only\":true");
        }
        if (restrictions.customersOnly()) {
            text.append(",\"customers-only\":true");
        }
        text.append('}');
    }

    private static String jsonArray(Collection<String> sites) {
        return sites.stream().map(Json::quote).collect(Collectors.joining(",", "[", "]"));
    }

    /** Digest of the JSON text, which distinguishes different tables with the same version. */
    public static String digest(RouteTable table) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256").digest(write(table).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
