package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import merlinlever.common.json.Json;

/**
 * Reads a partner's table from JSON. An error in the fields of the table makes the whole table unusable, an error in
 * a route only that route. A route whose restrictions cannot be parsed is forbidden, as the unknown part might forbid
 * its use.
 */
public final class RouteTableReader {

    /** Thrown if a table cannot be used at all. */
    public static final class UnusableTableException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableTableException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * A table and the errors in its routes.
     *
     * @param routeErrors one line for each route that is ignored or forbidden because of an error, at most 50
     */
    public record ParsedTable(RouteTable table, List<String> routeErrors) {}

    private static final class InvalidFieldException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidFieldException(String message) {
            super(message);
        }
    }

    /** Maximum length of the JSON text of a table. */
    public static final int MAX_CHARACTERS = 8 << 20;

    public static final int MAX_CALLS_PER_SECOND = 100_000;
    static final int MAX_COST = 1_000_000;
    private static final int MAX_LISTED_SITES = 64;
    private static final int MAX_ROUTE_ERRORS = 50;
    private static final int MAX_SHOWN_CHARACTERS = 40;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final long MAX_VERSION = 1L << 52;
    private static final String DEFAULT_GROUP = "records";
    private static final Pattern SITE_NAME = Pattern.compile("[a-z0-9-]{1,20}");
    private static final Pattern NAME = Pattern.compile("[!-.0-~]{1,40}");
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final Set<String> TABLE_FIELDS =
            Set.of("site", "incarnation", "sequence", "relation", "lease-ms", "routes");
    private static final Set<String> ROUTE_FIELDS =
            Set.of("tariff", "group", "place", "calls", "cost", "binding", "path", "down-from", "restrictions");
    private static final Set<String> RESTRICTION_FIELDS =
            Set.of("only-to", "not-to", "no-further", "most-sites", "retriable-only", "customers-only");

    private RouteTableReader() {}

    /**
     * Reads a table.
     *
     * @throws UnusableTableException if the text is not valid JSON, or a field of the table is invalid
     */
    public static ParsedTable read(String text) throws UnusableTableException {
        if (text.length() > MAX_CHARACTERS) {
            throw new UnusableTableException("route table is longer than " + MAX_CHARACTERS + " characters", null);
        }
        try {
            return readTable(Json.parseStrictObject(text));
        } catch (Json.MalformedJsonException | InvalidFieldException e) {
            throw new UnusableTableException("route table is invalid: " + e.getMessage(), e);
        }
    }

    private static ParsedTable readTable(Map<?, ?> tableFields) throws InvalidFieldException {
        requireKnownFields(tableFields, TABLE_FIELDS);
        String site = string(tableFields, "site", SITE_NAME);
        long incarnation = integer(tableFields, "incarnation", 0, MAX_VERSION);
        long sequence = integer(tableFields, "sequence", 0, MAX_VERSION);
        Relation relation = relation(string(tableFields, "relation", NAME));
        Duration lease = Duration.ofMillis(
                integer(tableFields, "lease-ms", RouteTable.MIN_LEASE.toMillis(), RouteTable.MAX_LEASE.toMillis()));
        if (!(tableFields.get("routes") instanceof List<?> list)) {
            throw new InvalidFieldException("'routes' is not a list");
        }
        if (list.size() > RouteTable.MAX_ROUTES) {
            throw new InvalidFieldException("table has more than " + RouteTable.MAX_ROUTES + " routes");
        }
        List<String> routeErrors = new ArrayList<>();
        TreeMap<String, Route> routes = readRoutes(list, routeErrors);
        return new ParsedTable(new RouteTable(site, incarnation, sequence, relation, lease, routes), routeErrors);
    }

    private static TreeMap<String, Route> readRoutes(List<?> list, List<String> routeErrors) {
        TreeMap<String, Route> routes = new TreeMap<>();
        Set<String> duplicates = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            try {
                Route route = route(list.get(i));
                if (route.restrictions().unreadable()) {
                    addRouteError(routeErrors, i, "restrictions cannot be parsed; the route is forbidden");
                }
                if (routes.put(route.id(), route) != null) {
                    duplicates.add(route.id());
                    throw new InvalidFieldException("duplicate route; all copies are ignored");
                }
            } catch (InvalidFieldException e) {
                addRouteError(routeErrors, i, e.getMessage());
            }
        }
        duplicates.forEach(routes::remove);
        return routes;
    }

    private static void addRouteError(List<String> routeErrors, int index, String message) {
        if (routeErrors.size() < MAX_ROUTE_ERRORS) {
            routeErrors.add("routes[" + index + "]: " + message);
        }
    }

    private static Route route(Object value) throws InvalidFieldException {
        if (!(value instanceof Map<?, ?> object)) {
            throw new InvalidFieldException("route is not an object");
        }
        requireKnownFields(object, ROUTE_FIELDS);
        String address = string(object, "place", ADDRESS);
        if (!isAddress(address)) {
            throw new InvalidFieldException("'place' is not a valid ADDRESS:PORT: " + address);
        }
        List<String> path = sites(object.get("path"), "path", Restrictions.MAX_PATH_LENGTH);
        if (path.isEmpty()) {
            throw new InvalidFieldException("'path' is empty");
        }
        String onlyToCustomerSite = object.get("down-from") == null ? null : string(object, "down-from", SITE_NAME);
        return new Route(
                string(object, "tariff", NAME),
                object.containsKey("group") ? string(object, "group", NAME) : DEFAULT_GROUP,
                address,
                (int) integer(object, "calls", 1, MAX_CALLS_PER_SECOND),
                (int) integer(object, "cost", 0, MAX_COST),
                booleanValue(object, "binding"),
                path,
                onlyToCustomerSite,
                object.containsKey("restrictions") ? restrictions(object.get("restrictions")) : Restrictions.NONE);
    }

    /** Returns {@link Restrictions#UNREADABLE}, which forbids everything, if any part of the value is invalid. */
    private static Restrictions restrictions(Object value) {
        try {
            if (!(value instanceof Map<?, ?> object)) {
                return Restrictions.UNREADABLE;
            }
            requireKnownFields(object, RESTRICTION_FIELDS);
            SortedSet<String> allowedSites = object.containsKey("only-to") ? siteSet(object, "only-to") : null;
            SortedSet<String> deniedSites = object.containsKey("not-to") ? siteSet(object, "not-to") : new TreeSet<>();
            int maxPathLength = object.containsKey("most-sites")
                    ? (int) integer(object, "most-sites", 1, Restrictions.MAX_PATH_LENGTH)
                    : Restrictions.MAX_PATH_LENGTH;
            return new Restrictions(
                    allowedSites,
                    deniedSites,
                    booleanValue(object, "no-further"),
                    maxPathLength,
                    booleanValue(object, "retriable-only"),
                    booleanValue(object, "customers-only"),
                    false);
        } catch (InvalidFieldException e) {
            return Restrictions.UNREADABLE;
        }
    }

    private static boolean isAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(5));
        if (port == 0 || port > MAX_PORT) {
            return false;
        }
        for (int i = 1; i <= 4; i++) {
            if (Integer.parseInt(matcher.group(i)) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }

    private static Relation relation(String name) throws InvalidFieldException {
        for (Relation relation : Relation.values()) {
            if (relation.wireName().equals(name)) {
                return relation;
            }
        }
        throw new InvalidFieldException("'relation' must be customer, peer or provider");
    }

    /** Whether the text is a valid site name. */
    public static boolean isSiteName(String text) {
        return SITE_NAME.matcher(text).matches();
    }

    private static void requireKnownFields(Map<?, ?> object, Set<String> names) throws InvalidFieldException {
        for (Object name : object.keySet()) {
            if (!names.contains(name)) {
                String text = String.valueOf(name);
                String shown = text.substring(0, Math.min(MAX_SHOWN_CHARACTERS, text.length()));
                throw new InvalidFieldException("unknown field '" + shown.replaceAll("[^ -~]", "?") + "'");
            }
        }
    }

    private static String string(Map<?, ?> object, String name, Pattern pattern) throws InvalidFieldException {
        if (object.get(name) instanceof String text && pattern.matcher(text).matches()) {
            return text;
        }
        throw new InvalidFieldException("'" + name + "' is missing or does not match " + pattern.pattern());
    }

    private static long integer(Map<?, ?> object, String name, long min, long max) throws InvalidFieldException {
        if (object.get(name) instanceof Long integer && integer >= min && integer <= max) {
            return integer;
        }
        throw new InvalidFieldException("'" + name + "' is not an integer from " + min + " to " + max);
    }

    private static boolean booleanValue(Map<?, ?> object, String name) throws InvalidFieldException {
        if (!object.containsKey(name)) {
            return false;
        }
        if (object.get(name) instanceof Boolean booleanValue) {
            return booleanValue;
        }
        throw new InvalidFieldException("'" + name + "' is not a boolean");
    }

    private static SortedSet<String> siteSet(Map<?, ?> object, String name) throws InvalidFieldException {
        return new TreeSet<>(sites(object.get(name), name, MAX_LISTED_SITES));
    }

    private static List<String> sites(Object value, String name, int max) throws InvalidFieldException {
        if (!(value instanceof List<?> list) || list.size() > max) {
            throw new InvalidFieldException("'" + name + "' is not a list of at most " + max + " sites");
        }
        List<String> sites = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof String site) || !isSiteName(site)) {
                throw new InvalidFieldException("'" + name + "' contains an invalid site name");
            }
            sites.add(site);
        }
        return sites;
    }
}
