package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bytes that version 0.2 wrote before the types got their present names: a file of entries, one on a line, each a name and its
 * bytes in hex or as text. They are never written anew; a program that reads or writes something else is not compatible.
 */
public final class Fixture {

    private final Map<String, byte[]> entries = new TreeMap<>();

    /** @param file under {@code compatibility/} of the test resources */
    public Fixture(String file) {
        try (InputStream in = Fixture.class.getResourceAsStream("/compatibility/" + file)) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                String[] part = line.split(" ", 3);
                entries.put(
                        part[0],
                        part[1].equals("hex")
                                ? HexFormat.of().parseHex(part[2])
                                : unescaped(part[2]).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String unescaped(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    /** The bytes of an entry. */
    public byte[] bytes(String name) {
        byte[] entry = entries.get(name);
        assertNotNull(entry, "no entry " + name);
        return entry;
    }

    /** An entry as text. */
    public String text(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** The program writes the same bytes now. */
    public void assertMatches(String name, byte[] written) {
        byte[] expected = bytes(name);
        // As text in the message where it is text.
        assertEquals(
                new String(expected, StandardCharsets.ISO_8859_1),
                new String(written, StandardCharsets.ISO_8859_1),
                name);
    }

    /** The program writes the same text now. */
    public void assertMatches(String name, String written) {
        assertMatches(name, written.getBytes(StandardCharsets.UTF_8));
    }
}
