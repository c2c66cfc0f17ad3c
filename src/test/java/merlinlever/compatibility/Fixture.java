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
 * Bytes written by version 0.2. Each line of the file is an entry of a name, a format and the bytes, in hex or as text.
 * The files are never regenerated: a program that writes other bytes is incompatible with version 0.2.
 */
public final class Fixture {

    private final Map<String, byte[]> entries = new TreeMap<>();

    /** @param file name of a file in {@code compatibility/} of the test resources */
    public Fixture(String file) {
        try (InputStream in = Fixture.class.getResourceAsStream("/compatibility/" + file)) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                String[] fields = line.split(" ", 3);
                entries.put(
                        fields[0],
                        fields[1].equals("hex")
                                ? HexFormat.of().parseHex(fields[2])
                                : unescape(fields[2]).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    /** Returns the bytes of an entry. */
    public byte[] bytes(String name) {
        byte[] entry = entries.get(name);
        assertNotNull(entry, "no entry " + name);
        return entry;
    }

    /** Returns an entry as text. */
    public String text(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** Asserts that the written bytes equal the bytes of an entry. */
    public void assertMatches(String name, byte[] written) {
        byte[] expected = bytes(name);
        // Compares strings, so that the failure message is readable.
        assertEquals(
                new String(expected, StandardCharsets.ISO_8859_1),
                new String(written, StandardCharsets.ISO_8859_1),
                name);
    }

    /** Asserts that the written text equals the text of an entry. */
    public void assertMatches(String name, String written) {
        assertMatches(name, written.getBytes(StandardCharsets.UTF_8));
    }
}
