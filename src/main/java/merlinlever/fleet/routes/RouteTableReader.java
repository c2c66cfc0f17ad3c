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
 * Reads a partner's table from JSON. A fault in its head costs the table, a fault in a route that route; whatever of a route's
 * restrictions is not understood may forbid something, and so forbids the route.
 */
public final class RouteTableReader {

    /** A table that cannot be used at all. */
    public static final class UnusableTableException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableTableException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * What was read.
     *
     * @param faults one line for each route that is not used as it was said, 50 at most
     */
    public record ParsedTable(RouteTable table, List<String> faults) {}

    private static final class InvalidFieldException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidFieldException(String message) {
            super(message);
        }
    }

    /** Upper bound of the length of a table. */
    public static final int MAX_CHARACTERS = 8 << 20;

    public static final int MAX_CALLS_PER_SECOND = 100_000;
    static final int MAX_COST = 1_000_000;
    private static final int MAX_NAMED_SITES = 64;
    private static final int MAX_FAULTS = 50;
    private static final int MAX_SHOWN_CHARACTERS = 40;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final long MAX_VERSION = 1L << 52;
    private static final String DEFAULT_GROUP = "records";
    private static final Pattern SITE = Pattern.compile("[a-z0-9-]{1,20}");
    private static final Pattern WORD = Pattern.compile("[!-.0-~]{1,40}");
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final Set<String> HEAD_FIELDS =
            Set.of("site", "incarnation", "sequence", "relation", "lease-ms", "routes");
    private static final Set<String> ROUTE_FIELDS =
            Set.of("tariff", "group", "place", "calls", "cost", "binding", "path", "down-from", "restrictions");
    private static final Set<String> RESTRICTION_FIELDS =
            Set.of("only-to", "not-to", "no-further", "most-sites", "retriable-only", "customers-only");

    private RouteTableReader() {}

    /**
     * Reads a table.
     *
     * @throws UnusableTableException if the text is no JSON, or its head has a fault
     */
    public static ParsedTable read(String text) throws UnusableTableException {
        if (text.length() > MAX_CHARACTERS) {
            throw new UnusableTableException("the table has over " + MAX_CHARACTERS + " characters", null);
        }
        try {
            return readTable(Json.parseStrictObject(text));
        } catch (Json.MalformedJsonException | InvalidFieldException e) {
            throw new UnusableTableException("the table: " + e.getMessage(), e);
        }
    }

    private static ParsedTable readTable(Map<?, ?> head) throws InvalidFieldException {
        requireKnownNames(head, HEAD_FIELDS);
        String site = word(head, "site", SITE);
        long incarnation = number(head, "incarnation", 0, MAX_VERSION);
        long sequence = number(head, "sequence", 0, MAX_VERSION);
        Relation relation = relation(word(head, "relation", WORD));
        Duration lease = Duration.ofMillis(
                number(head, "lease-ms", RouteTable.MIN_LEASE.toMillis(), RouteTable.MAX_LEASE.toMillis()));
        if (!(head.get("routes") instanceof List<?> list)) {
            throw new InvalidFieldException("'routes' is no list");
        }
        if (list.size() > RouteTable.MAX_ROUTES) {
            throw new InvalidFieldException("over " + RouteTable.MAX_ROUTES + " routes");
        }
        List<String> faults = new ArrayList<>();
        TreeMap<String, Route> routes = readRoutes(list, faults);
        return new ParsedTable(new RouteTable(site, incarnation, sequence, relation, lease, routes), faults);
    }

    private static TreeMap<String, Route> readRoutes(List<?> list, List<String> faults) {
        TreeMap<String, Route> routes = new TreeMap<>();
        Set<String> duplicates = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            try {
                Route route = route(list.get(i));
                if (route.restrictions().unreadable()) {
                    addFault(faults, i, "its restrictions are not understood, so it is forbidden");
                }
                if (routes.put(route.id(), route) != null) {
                    duplicates.add(route.id());
                    throw new InvalidFieldException("the same route came before; neither is taken");
                }
            } catch (InvalidFieldException e) {
                addFault(faults, i, e.getMessage());
            }
        }
        duplicates.forEach(routes::remove);
        return routes;
    }

    private static void addFault(List<String> faults, int index, String message) {
        if (faults.size() < MAX_FAULTS) {
            faults.add("routes[" + index + "]: " + message);
        }
    }

    private static Route route(Object value) throws InvalidFieldException {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidFieldException("not an object");
        }
        requireKnownNames(map, ROUTE_FIELDS);
        String address = word(map, "place", ADDRESS);
        if (!isAddress(address)) {
            throw new InvalidFieldException("'place' is no address and port: " + address);
        }
        List<String> path = sites(map.get("path"), "path", Restrictions.MAX_PATH_LENGTH);
        if (path.isEmpty()) {
            throw new InvalidFieldException("'path' is empty");
        }
        String onlyToCustomerSite = map.get("down-from") == null ? null : word(map, "down-from", SITE);
        return new Route(
                word(map, "tariff", WORD),
                map.containsKey("group") ? word(map, "group", WORD) : DEFAULT_GROUP,
                address,
                (int) number(map, "calls", 1, MAX_CALLS_PER_SECOND),
                (int) number(map, "cost", 0, MAX_COST),
                flag(map, "binding"),
                path,
                onlyToCustomerSite,
                map.containsKey("restrictions") ? restrictions(map.get("restrictions")) : Restrictions.NONE);
    }

    /** What is not understood without a doubt forbids everything. */
    private static Restrictions restrictions(Object value) {
        try {
            if (!(value instanceof Map<?, ?> map)) {
                return Restrictions.UNREADABLE;
            }
            requireKnownNames(map, RESTRICTION_FIELDS);
            SortedSet<String> allowedSites = map.containsKey("only-to") ? siteSet(map, "only-to") : null;
            SortedSet<String> deniedSites = map.containsKey("not-to") ? siteSet(map, "not-to") : new TreeSet<>();
            int maxPathLength = map.containsKey("most-sites")
                    ? (int) number(map, "most-sites", 1, Restrictions.MAX_PATH_LENGTH)
                    : Restrictions.MAX_PATH_LENGTH;
            return new Restrictions(
                    allowedSites,
                    deniedSites,
                    flag(map, "no-further"),
                    maxPathLength,
                    flag(map, "retriable-only"),
                    flag(map, "customers-only"),
                    false);
        } catch (InvalidFieldException e) {
            return Restrictions.UNREADABLE;
        }
    }

    private static boolean isAddress(String text) {
        Matcher parts = ADDRESS.matcher(text);
        if (!parts.matches()) {
            return false;
        }
        int port = Integer.parseInt(parts.group(5));
        if (port == 0 || port > MAX_PORT) {
            return false;
        }
        for (int i = 1; i <= 4; i++) {
            if (Integer.parseInt(parts.group(i)) > MAX_OCTET) {
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
        throw new InvalidFieldException("'relation' is customer, peer or provider");
    }

    /** Whether it can be a site's name. */
    public static boolean isSite(String text) {
        return SITE.matcher(text).matches();
    }

    private static void requireKnownNames(Map<?, ?> map, Set<String> names) throws InvalidFieldException {
        for (Object name : map.keySet()) {
            if (!names.contains(name)) {
                String text = String.valueOf(name);
                String shown = text.substring(0, Math.min(MAX_SHOWN_CHARACTERS, text.length()));
                throw new InvalidFieldException("'" + shown.replaceAll("[^ -~]", "?") + "' is not known");
            }
        }
    }

    private static String word(Map<?, ?> map, String name, Pattern form) throws InvalidFieldException {
        if (map.get(name) instanceof String text && form.matcher(text).matches()) {
            return text;
        }
        throw new InvalidFieldException("'" + name + "' is missing or not of the form " + form.pattern());
    }

    private static long number(Map<?, ?> map, String name, long min, long max) throws InvalidFieldException {
        if (map.get(name) instanceof Long number && number >= min && number <= max) {
            return number;
        }
        throw new InvalidFieldException("'" + name + "' is no whole number from " + min + " to " + max);
    }

    private static boolean flag(Map<?, ?> map, String name) throws InvalidFieldException {
        if (!map.containsKey(name)) {
            return false;
        }
        if (map.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw new InvalidFieldException("'" + name + "' is neither true nor false");
    }

    private static SortedSet<String> siteSet(Map<?, ?> map, String name) throws InvalidFieldException {
        return new TreeSet<>(sites(map.get(name), name, MAX_NAMED_SITES));
    }

    private static List<String> sites(Object value, String name, int max) throws InvalidFieldException {
        if (!(value instanceof List<?> list) || list.size() > max) {
            throw new InvalidFieldException("'" + name + "' is no list of at most " + max + " sites");
        }
        List<String> sites = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof String site) || !isSite(site)) {
                throw new InvalidFieldException("'" + name + "' names what is no site");
            }
            sites.add(site);
        }
        return sites;
    }
}
