package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RouteTableReaderTest {

    private static final String ROUTE =
            "{\"tariff\":\"t\",\"place\":\"10.0.0.1:7\",\"calls\":5,\"cost\":1,\"path\":[\"east\"]";

    private static String table(String... routes) {
        return "{\"site\":\"east\",\"incarnation\":1,\"sequence\":2,\"relation\":\"peer\",\"lease-ms\":5000,\"routes\":["
                + String.join(",", routes) + "]}";
    }

    private static RouteTable tableWithAllFields() {
        Restrictions restrictions = new Restrictions(
                new TreeSet<>(Set.of("me", "west")), new TreeSet<>(Set.of("north")), true, 3, true, true, false);
        return RouteTable.of(
                "east",
                3,
                9,
                Relation.PROVIDER,
                Duration.ofMillis(2500),
                List.of(
                        new Route(
                                "t",
                                "g",
                                "10.1.2.3:65535",
                                100_000,
                                1_000_000,
                                true,
                                List.of("east", "south"),
                                "south",
                                restrictions),
                        new Route("t", "g", "10.1.2.3:1", 1, 0, false, List.of("east"), null, Restrictions.UNREADABLE),
                        new Route(
                                "u", "records", "10.1.2.3:1", 1, 0, false, List.of("east"), null, Restrictions.NONE)));
    }

    @Test
    void aWrittenTableIsReadBack() throws RouteTableReader.UnusableTableException {
        RouteTableReader.ParsedTable parsed = RouteTableReader.read(RouteTableWriter.write(tableWithAllFields()));
        assertEquals(tableWithAllFields(), parsed.table());
        assertEquals(1, parsed.routeErrors().size(), () -> parsed.routeErrors().toString());
    }

    /** An invalid or unknown restriction must forbid the route, and a route with an unknown field must be ignored. */
    @Test
    void invalidRestrictionsForbidTheRoute() throws RouteTableReader.UnusableTableException {
        for (String invalid : List.of(
                "null",
                "[]",
                "7",
                "{\"only-too\":[\"me\"]}",
                "{\"only-to\":\"me\"}",
                "{\"only-to\":null}",
                "{\"not-to\":[\"ME\"]}",
                "{\"no-further\":1}",
                "{\"no-further\":null}",
                "{\"most-sites\":0}",
                "{\"most-sites\":1.5}",
                "{\"retriable-only\":\"yes\"}",
                "{\"customers-only\":true,\"not-to\":[{}]}")) {
            RouteTableReader.ParsedTable parsed =
                    RouteTableReader.read(table(ROUTE + ",\"restrictions\":" + invalid + "}"));
            assertTrue(
                    parsed.table().routes().values().stream()
                            .allMatch(route -> route.restrictions().unreadable()
                                    && !route.restrictions().allows("me")),
                    invalid);
            assertEquals(1, parsed.routeErrors().size(), invalid);
        }
        RouteTableReader.ParsedTable withUnknownField =
                RouteTableReader.read(table(ROUTE + ",\"only-on-mondays\":true}", ROUTE + ",\"group\":\"other\"}"));
        assertEquals(
                List.of("t/other/10.0.0.1:7/east"),
                List.copyOf(withUnknownField.table().routes().keySet()));
        assertEquals(List.of("routes[0]: unknown field 'only-on-mondays'"), withUnknownField.routeErrors());
        // A duplicate field could hide the restrictions.
        assertThrows(
                RouteTableReader.UnusableTableException.class,
                () -> RouteTableReader.read(
                        table(ROUTE + ",\"restrictions\":{\"no-further\":true},\"restrictions\":{}}")));
        assertThrows(
                RouteTableReader.UnusableTableException.class,
                () -> RouteTableReader.read(table().replace("\"routes\"", "\"all-forbidden\":true,\"routes\"")));
        assertEquals(
                0,
                RouteTableReader.read(table(ROUTE + "}", ROUTE + ",\"restrictions\":{\"no-further\":true}}"))
                        .table()
                        .routes()
                        .size());
    }

    @Test
    void invalidTablesAreRejected() {
        for (String invalid : List.of(
                "[]",
                "",
                "{}",
                table().replace("east", "East"),
                table().replace("5000", "999"),
                table().replace("5000", "3600001"),
                table().replace("peer", "friend"),
                table().replace("\"sequence\":2", "\"sequence\":-1"),
                table().replace("[]", "{}"))) {
            assertThrows(RouteTableReader.UnusableTableException.class, () -> RouteTableReader.read(invalid), invalid);
        }
        List<String> manyRoutes = new ArrayList<>();
        for (int i = 0; i <= RouteTable.MAX_ROUTES; i++) {
            manyRoutes.add(ROUTE.replace("\"t\"", "\"t" + i + "\"") + "}");
        }
        assertThrows(
                RouteTableReader.UnusableTableException.class,
                () -> RouteTableReader.read(table(manyRoutes.toArray(String[]::new))));
        assertThrows(
                RouteTableReader.UnusableTableException.class,
                () -> RouteTableReader.read(" ".repeat(RouteTableReader.MAX_CHARACTERS + 1)));
    }

    /**
     * A randomly modified table must be rejected with a one-line message, or yield values in range that can be
     * written and read back.
     */
    @Property(tries = 4000, seed = "42")
    void corruptedTextsAreReadWithinBoundsOrRejected(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int modifications) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder(RouteTableWriter.write(tableWithAllFields()));
        String[] fragments = {
            "\"",
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "null",
            "true",
            "-1",
            "1e9",
            "99999999999999999999",
            "\\u0000",
            "\"path\":[]",
            "east",
            " "
        };
        for (int i = 0; i < modifications && text.length() > 2; i++) {
            int position = random.nextInt(text.length());
            switch (random.nextInt(4)) {
                case 0 -> text.setCharAt(position, (char) random.nextInt(random.nextBoolean() ? 128 : 0x10000));
                case 1 -> text.delete(position, Math.min(text.length(), position + 1 + random.nextInt(20)));
                case 2 -> text.insert(position, fragments[random.nextInt(fragments.length)]);
                default -> text.insert(
                        position, text.substring(position, Math.min(text.length(), position + random.nextInt(120))));
            }
        }
        try {
            RouteTableReader.ParsedTable parsed = RouteTableReader.read(text.toString());
            assertTrue(parsed.table().routes().size() <= RouteTable.MAX_ROUTES);
            for (Route route : parsed.table().routes().values()) {
                assertTrue(route.callsPerSecond() >= 1
                        && route.callsPerSecond() <= RouteTableReader.MAX_CALLS_PER_SECOND
                        && route.cost() >= 0
                        && !route.path().isEmpty()
                        && route.path().size() <= Restrictions.MAX_PATH_LENGTH
                        && route.path().stream().allMatch(RouteTableReader::isSiteName));
            }
            // A parsed table survives a round trip.
            assertEquals(
                    parsed.table(),
                    RouteTableReader.read(RouteTableWriter.write(parsed.table()))
                            .table());
        } catch (RouteTableReader.UnusableTableException e) {
            assertTrue(
                    e.getMessage().startsWith("route table is ")
                            && e.getMessage().lines().count() == 1,
                    e.getMessage());
        }
    }
}
