package merlinlever.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Outcome;
import merlinlever.json.Json;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class AgentEventTest {

    @Example
    void anOutcomeAndASampleAreParsed() throws Json.MalformedJsonException {
        AgentEvent outcome =
                AgentEvent.parse("{\"cmd\":\"outcome\",\"offset\":7,\"req\":\"ff1f03aa5c7e2d41\",\"result\":\"OK\","
                        + "\"elapsed_ms\":1.5,\"payload\":\"AP8=\"}");
        assertEquals(7, outcome.offset());
        assertEquals(Long.parseUnsignedLong("ff1f03aa5c7e2d41", 16), outcome.id());
        assertEquals(Outcome.OK, outcome.ending());
        assertArrayEquals(new byte[] {0, -1}, outcome.payload());
        assertArrayEquals(
                new double[] {0.5, 3},
                AgentEvent.parse("{\"cmd\":\"sampled\",\"token\":\"a\",\"load\":[0.5,3]}")
                        .row());
    }

    @Property(tries = 200, seed = "47")
    void linesAreDecodedAlikeWhereverTheBytesAreSplit(@ForAll List<@IntRange(min = 1, max = 9) Integer> cuts) {
        byte[] all = "one\n\n{\"two\":\"\u00e9\"}\nthr".getBytes(StandardCharsets.UTF_8);
        ByteBuffer in = ByteBuffer.allocate(64);
        LineDecoder lines = new LineDecoder(64);
        List<String> heard = new ArrayList<>();
        int sent = 0;
        for (int i = 0; sent < all.length; i++) {
            int part = Math.min(all.length - sent, i < cuts.size() ? cuts.get(i) : all.length);
            in.put(all, sent, part);
            sent += part;
            in.flip();
            assertTrue(lines.decode(in, heard::add));
            in.compact();
        }
        assertEquals(List.of("one", "", "{\"two\":\"\u00e9\"}"), heard);
        assertEquals(3, in.position());
    }

    @Example
    void aLineBeyondTheLimitIsReported() {
        assertFalse(new LineDecoder(16).decode(ByteBuffer.wrap(new byte[16]), line -> {}));
    }

    @Example
    void aLineThatIsNoEventIsMalformed() {
        for (String bad : new String[] {
            "",
            "[]",
            "{\"req\":5}",
            "{\"req\":\"xyz\"}",
            "{\"payload\":\"?\"}",
            "{\"offset\":\"1\"}",
            "{\"load\":[true]}",
            "{\"cmd\":\"a\"",
            "{} {}"
        }) {
            assertThrows(Json.MalformedJsonException.class, () -> AgentEvent.parse(bad), bad);
        }
    }

    @Property(tries = 1000, seed = "44")
    void hostileLinesAreMalformedAndNothingElse(@ForAll String noise, @ForAll int at) {
        String line =
                "{\"cmd\":\"outcome\",\"offset\":7,\"req\":\"9b1f03aa5c7e2d41\",\"result\":\"OK\",\"payload\":\"AP8=\"}";
        int cut = Math.floorMod(at, line.length());
        try {
            AgentEvent.parse(line.substring(0, cut) + noise + line.substring(Math.min(line.length(), cut + 2)));
        } catch (Json.MalformedJsonException e) {
            assertEquals(Json.MalformedJsonException.class, e.getClass());
        }
    }
}
