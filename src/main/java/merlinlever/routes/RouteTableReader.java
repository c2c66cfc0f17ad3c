package merlinlever.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import merlinlever.json.Json;

/**
 * Reads a partner's table. What is wrong with its head costs the table, what is wrong with a route that route; whatever of a
 * route is not understood may be a restriction, and so forbids it.
 */
public final class RouteTableReader {

    /** A table that cannot be used at all. */
    public static final class UnusableTableException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableTableException(String message) {
            super(message);
        }
    }

    /** @param faults one line for each route that is not used as it was said, 50 at the most */
    public record ParsedTable(RouteTable table, List<String> faults) {}

    public static final int MAX_CHARACTERS = 8 << 20;
    public static final int MAX_CALLS_PER_SECOND = 100_000;
    static final int MAX_COST = 1_000_000;
    private static final int MAX_NAMED_SITES = 64;
    private static final int MAX_FAULTS = 50;
    private static final long MAX_VERSION = 1L << 52;
    private static final Pattern SITE = Pattern.compile("[a-z0-9-]{1,20}");
    private static final Pattern WORD = Pattern.compile("[!-.0-~]{1,40}");
    private static final Pattern PLACE =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final Set<String> HEAD = Set.of("site", "incarnation", "sequence", "relation", "lease-ms", "routes");
    private static final Set<String> ROUTE =
            Set.of("tariff", "group", "place", "calls", "cost", "binding", "path", "down-from", "restrictions");
    private static final Set<String> LIMITS =
            Set.of("only-to", "not-to", "no-further", "most-sites", "retriable-only", "customers-only");

    private RouteTableReader() {}

    private static final class InvalidFieldException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidFieldException(String message) {
            super(message);
        }
    }

    public static ParsedTable read(String text) throws UnusableTableException {
        if (text.length() > MAX_CHARACTERS) {
            throw new UnusableTableException("the table has over " + MAX_CHARACTERS + " characters");
        }
        try {
            return read(Json.strictObject(text));
        } catch (Json.MalformedJsonException | InvalidFieldException e) {
            throw new UnusableTableException("the table: " + e.getMessage());
        }
    }

    private static ParsedTable read(Map<?, ?> head) throws InvalidFieldException {
        requireKnownNames(head, HEAD);
        String site = word(head, "site", SITE);
        long incarnation = number(head, "incarnation", 0, MAX_VERSION),
                sequence = number(head, "sequence", 0, MAX_VERSION);
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
        TreeMap<String, Route> routes = new TreeMap<>();
        Set<String> twice = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            try {
                Route route = route(list.get(i));
                if (route.restrictions().unreadable()) {
                    addFault(faults, i, "its restrictions are not understood, so it is forbidden");
                }
                if (routes.put(route.id(), route) != null) {
                    twice.add(route.id());
                    throw new InvalidFieldException("the same route came before; neither is taken");
                }
            } catch (InvalidFieldException e) {
                addFault(faults, i, e.getMessage());
            }
        }
        twice.forEach(routes::remove);
        return new ParsedTable(new RouteTable(site, incarnation, sequence, relation, lease, routes), faults);
    }

    private static void addFault(List<String> faults, int i, String what) {
        if (faults.size() < MAX_FAULTS) {
            faults.add("routes[" + i + "]: " + what);
        }
    }

    private static Route route(Object value) throws InvalidFieldException {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidFieldException("not an object");
        }
        requireKnownNames(map, ROUTE);
        String place = word(map, "place", PLACE);
        if (!isAddress(place)) {
            throw new InvalidFieldException("'place' is no address and port: " + place);
        }
        List<String> path = new ArrayList<>(sites(map.get("path"), "path", Restrictions.MAX_SITES));
        if (path.isEmpty()) {
            throw new InvalidFieldException("'path' is empty");
        }
        String down = map.get("down-from") == null ? null : word(map, "down-from", SITE);
        return new Route(
                word(map, "tariff", WORD),
                map.containsKey("group") ? word(map, "group", WORD) : "records",
                place,
                (int) number(map, "calls", 1, MAX_CALLS_PER_SECOND),
                (int) number(map, "cost", 0, MAX_COST),
                flag(map, "binding"),
                path,
                down,
                map.containsKey("restrictions") ? restrictions(map.get("restrictions")) : Restrictions.NONE);
    }

    /** Without a doubt, or all is forbidden. */
    private static Restrictions restrictions(Object value) {
        try {
            if (!(value instanceof Map<?, ?> map)) {
                return Restrictions.UNREADABLE;
            }
            requireKnownNames(map, LIMITS);
            SortedSet<String> only = map.containsKey("only-to")
                    ? new TreeSet<>(sites(map.get("only-to"), "only-to", MAX_NAMED_SITES))
                    : null;
            SortedSet<String> not = map.containsKey("not-to")
                    ? new TreeSet<>(sites(map.get("not-to"), "not-to", MAX_NAMED_SITES))
                    : new TreeSet<>();
            return new Restrictions(
                    only,
                    not,
                    flag(map, "no-further"),
                    map.containsKey("most-sites")
                            ? (int) number(map, "most-sites", 1, Restrictions.MAX_SITES)
                            : Restrictions.MAX_SITES,
                    flag(map, "retriable-only"),
                    flag(map, "customers-only"),
                    false);
        } catch (InvalidFieldException e) {
            return Restrictions.UNREADABLE;
        }
    }

    private static boolean isAddress(String place) {
        var parts = PLACE.matcher(place);
        if (!parts.matches() || Integer.parseInt(parts.group(5)) > 65535 || Integer.parseInt(parts.group(5)) == 0) {
            return false;
        }
        for (int i = 1; i <= 4; i++) {
            if (Integer.parseInt(parts.group(i)) > 255) {
                return false;
            }
        }
        return true;
    }

    static Relation relation(String word) throws InvalidFieldException {
        for (Relation each : Relation.values()) {
            if (each.wireName().equals(word)) {
                return each;
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
                String shown = String.valueOf(name);
                throw new InvalidFieldException(
                        "'" + shown.substring(0, Math.min(40, shown.length())).replaceAll("[^ -~]", "?")
                                + "' is not known");
            }
        }
    }

    private static String word(Map<?, ?> map, String name, Pattern form) throws InvalidFieldException {
        if (map.get(name) instanceof String text && form.matcher(text).matches()) {
            return text;
        }
        throw new InvalidFieldException("'" + name + "' is missing or not of the form " + form.pattern());
    }

    private static long number(Map<?, ?> map, String name, long least, long most) throws InvalidFieldException {
        if (map.get(name) instanceof Long number && number >= least && number <= most) {
            return number;
        }
        throw new InvalidFieldException("'" + name + "' is no whole number from " + least + " to " + most);
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

    private static List<String> sites(Object value, String name, int most) throws InvalidFieldException {
        if (!(value instanceof List<?> list) || list.size() > most) {
            throw new InvalidFieldException("'" + name + "' is no list of at most " + most + " sites");
        }
        List<String> sites = new ArrayList<>();
        for (Object each : list) {
            if (!(each instanceof String site) || !isSite(site)) {
                throw new InvalidFieldException("'" + name + "' names what is no site");
            }
            sites.add(site);
        }
        return sites;
    }
}
