package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CommandsTest {

    @Test
    void wrongUsageHasStatusTwo() {
        assertEquals(2, Commands.start());
        assertEquals(2, Commands.start("nothing-of-the-kind"));
        assertEquals(2, Commands.start("zone"));
        assertEquals(2, Commands.start("config", "schema", "unknown"));
        assertEquals(2, Commands.start("serve", "argument"));
    }

    @Test
    void helpExistsOnEveryLevel() {
        for (String[] arguments :
                new String[][] {{"--help"}, {"zone", "--help"}, {"config", "schema", "--help"}, {"serve", "--help"}}) {
            assertEquals(0, Commands.start(arguments));
        }
        assertEquals(0, Commands.start("config", "schema", "zone-serve"));
    }

    @Test
    void invalidFileHasStatusOne() {
        assertEquals(1, Commands.start("config", "check", "zone-serve", "/nonexistent/file.yaml"));
    }
}
