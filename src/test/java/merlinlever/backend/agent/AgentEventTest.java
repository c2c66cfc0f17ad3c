package merlinlever.backend.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.common.json.Json;
import merlinlever.controller.Outcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AgentEventTest {

    @Test
    void anOutcomeAndASampleAreParsed() throws Json.MalformedJsonException {
        AgentEvent event =
                AgentEvent.parse("{\"cmd\":\"outcome\",\"offset\":7,\"req\":\"ff1f03aa5c7e2d41\",\"result\":\"OK\","
                        + "\"elapsed_ms\":1.5,\"payload\":\"AP8=\"}");
        AgentEvent.RunEnded runEnded = assertInstanceOf(AgentEvent.RunEnded.class, event);
        assertEquals(7, runEnded.offset());
        assertEquals(Long.parseUnsignedLong("ff1f03aa5c7e2d41", 16), runEnded.requestId());
        assertEquals(Optional.of(Outcome.OK), runEnded.outcome());
        assertArrayEquals(new byte[] {0, -1}, runEnded.result());
        AgentEvent.Sampled sampled = assertInstanceOf(
                AgentEvent.Sampled.class, AgentEvent.parse("{\"cmd\":\"sampled\",\"token\":\"a\",\"load\":[0.5,3]}"));
        assertEquals("a", sampled.token());
        assertArrayEquals(new double[] {0.5, 3}, sampled.gauges());
    }

    @Test
    void eachKindOfEventIsParsed() throws Json.MalformedJsonException {
        assertEquals(
                new AgentEvent.Greeting(0, "COLD", 12.5),
                AgentEvent.parse("{\"cmd\":\"greeting\",\"result\":\"COLD\",\"elapsed_ms\":12.5}"));
        assertTrue(new AgentEvent.Greeting(0, "COLD", 0).isCold());
        assertFalse(new AgentEvent.Greeting(0, "WARM", 0).isCold());
        assertEquals(
                new AgentEvent.Exercised(0, "x3", true),
                AgentEvent.parse("{\"cmd\":\"exercised\",\"token\":\"x3\",\"result\":\"OK\"}"));
        assertEquals(
                new AgentEvent.Exercised(0, "", false),
                AgentEvent.parse("{\"cmd\":\"exercised\",\"result\":\"ERROR\"}"));
        assertEquals(
                new AgentEvent.CommandRefused(4, "launch", 255),
                AgentEvent.parse("{\"cmd\":\"refusal\",\"offset\":4,\"result\":\"launch\",\"req\":\"ff\"}"));
        assertEquals(new AgentEvent.Unrelated(5), AgentEvent.parse("{\"cmd\":\"aside\",\"offset\":5}"));
        assertEquals(new AgentEvent.Unknown(0, "else"), AgentEvent.parse("{\"cmd\":\"else\"}"));
        assertEquals(new AgentEvent.Unknown(0, null), AgentEvent.parse("{}"));
        AgentEvent.CallRequested call = assertInstanceOf(
                AgentEvent.CallRequested.class,
                AgentEvent.parse("{\"cmd\":\"request\",\"offset\":3,\"req\":\"a\",\"payload\":\"AQI=\"}"));
        assertEquals(10, call.requestId());
        assertArrayEquals(new byte[] {1, 2}, call.body());
        for (String[] each : new String[][] {{"STOPPED", "STOPPED"}, {"MOOT", "NOT_STARTED"}, {"else", "ERROR"}}) {
            AgentEvent.RunEnded ended = assertInstanceOf(
                    AgentEvent.RunEnded.class,
                    AgentEvent.parse("{\"cmd\":\"outcome\",\"req\":\"a\",\"result\":\"" + each[0] + "\"}"));
            assertEquals(Optional.of(Outcome.valueOf(each[1])), ended.outcome());
        }
        AgentEvent.RunEnded unclear =
                assertInstanceOf(AgentEvent.RunEnded.class, AgentEvent.parse("{\"cmd\":\"outcome\",\"req\":\"a\"}"));
        assertEquals(Optional.empty(), unclear.outcome());
    }

    @Property(tries = 200, seed = "47")
    void linesAreDecodedAlikeWhereverTheBytesAreSplit(@ForAll List<@IntRange(min = 1, max = 9) Integer> cuts) {
        byte[] all = "one\n\n{\"two\":\"\u00e9\"}\nthr".getBytes(StandardCharsets.UTF_8);
        ByteBuffer in = ByteBuffer.allocate(64);
        LineDecoder decoder = new LineDecoder(64);
        List<String> lines = new ArrayList<>();
        int sent = 0;
        for (int i = 0; sent < all.length; i++) {
            int part = Math.min(all.length - sent, i < cuts.size() ? cuts.get(i) : all.length);
            in.put(all, sent, part);
            sent += part;
            in.flip();
            assertTrue(decoder.decode(in, lines::add));
            in.compact();
        }
        assertEquals(List.of("one", "", "{\"two\":\"\u00e9\"}"), lines);
        assertEquals(3, in.position());
    }

    @Test
    void aLineBeyondTheLimitIsReported() {
        assertFalse(new LineDecoder(16).decode(ByteBuffer.wrap(new byte[16]), line -> {}));
    }

    @Test
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
