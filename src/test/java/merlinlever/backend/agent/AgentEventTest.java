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
    void parsesRunEndedAndMetricsReported() throws Json.MalformedJsonException {
        AgentEvent event =
                AgentEvent.parse("{\"cmd\":\"outcome\",\"offset\":7,\"req\":\"ff1f03aa5c7e2d41\",\"result\":\"OK\","
                        + "\"elapsed_ms\":1.5,\"payload\":\"AP8=\"}");
        AgentEvent.RunEnded runEnded = assertInstanceOf(AgentEvent.RunEnded.class, event);
        assertEquals(7, runEnded.offset());
        assertEquals(Long.parseUnsignedLong("ff1f03aa5c7e2d41", 16), runEnded.requestId());
        assertEquals(Optional.of(Outcome.OK), runEnded.outcome());
        assertArrayEquals(new byte[] {0, -1}, runEnded.result());
        AgentEvent.MetricsReported metrics = assertInstanceOf(
                AgentEvent.MetricsReported.class,
                AgentEvent.parse("{\"cmd\":\"sampled\",\"token\":\"a\",\"load\":[0.5,3]}"));
        assertEquals("a", metrics.token());
        assertArrayEquals(new double[] {0.5, 3}, metrics.gauges());
    }

    @Test
    void parsesEachKindOfEvent() throws Json.MalformedJsonException {
        assertEquals(
                new AgentEvent.Greeting(0, "COLD", 12.5),
                AgentEvent.parse("{\"cmd\":\"greeting\",\"result\":\"COLD\",\"elapsed_ms\":12.5}"));
        assertTrue(new AgentEvent.Greeting(0, "COLD", 0).isCold());
        assertFalse(new AgentEvent.Greeting(0, "WARM", 0).isCold());
        assertEquals(
                new AgentEvent.DeepCheckCompleted(0, "x3", true),
                AgentEvent.parse("{\"cmd\":\"exercised\",\"token\":\"x3\",\"result\":\"OK\"}"));
        assertEquals(
                new AgentEvent.DeepCheckCompleted(0, "", false),
                AgentEvent.parse("{\"cmd\":\"exercised\",\"result\":\"ERROR\"}"));
        assertEquals(
                new AgentEvent.CommandRejected(4, "launch", 255),
                AgentEvent.parse("{\"cmd\":\"refusal\",\"offset\":4,\"result\":\"launch\",\"req\":\"ff\"}"));
        assertEquals(new AgentEvent.Unrelated(5), AgentEvent.parse("{\"cmd\":\"aside\",\"offset\":5}"));
        assertEquals(new AgentEvent.Unknown(0, "else"), AgentEvent.parse("{\"cmd\":\"else\"}"));
        assertEquals(new AgentEvent.Unknown(0, null), AgentEvent.parse("{}"));
        AgentEvent.CallRequested call = assertInstanceOf(
                AgentEvent.CallRequested.class,
                AgentEvent.parse("{\"cmd\":\"request\",\"offset\":3,\"req\":\"a\",\"payload\":\"AQI=\"}"));
        assertEquals(10, call.requestId());
        assertArrayEquals(new byte[] {1, 2}, call.body());
        for (String[] resultAndOutcome :
                new String[][] {{"STOPPED", "STOPPED"}, {"MOOT", "NOT_STARTED"}, {"else", "ERROR"}}) {
            AgentEvent.RunEnded ended = assertInstanceOf(
                    AgentEvent.RunEnded.class,
                    AgentEvent.parse("{\"cmd\":\"outcome\",\"req\":\"a\",\"result\":\"" + resultAndOutcome[0] + "\"}"));
            assertEquals(Optional.of(Outcome.valueOf(resultAndOutcome[1])), ended.outcome());
        }
        AgentEvent.RunEnded withoutOutcome =
                assertInstanceOf(AgentEvent.RunEnded.class, AgentEvent.parse("{\"cmd\":\"outcome\",\"req\":\"a\"}"));
        assertEquals(Optional.empty(), withoutOutcome.outcome());
    }

    @Property(tries = 200, seed = "47")
    void decodesTheSameLinesForAnySplitOfTheInput(@ForAll List<@IntRange(min = 1, max = 9) Integer> chunkSizes) {
        byte[] all = "one\n\n{\"two\":\"\u00e9\"}\nthr".getBytes(StandardCharsets.UTF_8);
        ByteBuffer input = ByteBuffer.allocate(64);
        LineDecoder decoder = new LineDecoder(64);
        List<String> lines = new ArrayList<>();
        int bytesSent = 0;
        for (int i = 0; bytesSent < all.length; i++) {
            int chunkBytes = Math.min(all.length - bytesSent, i < chunkSizes.size() ? chunkSizes.get(i) : all.length);
            input.put(all, bytesSent, chunkBytes);
            bytesSent += chunkBytes;
            input.flip();
            assertTrue(decoder.decode(input, lines::add));
            input.compact();
        }
        assertEquals(List.of("one", "", "{\"two\":\"\u00e9\"}"), lines);
        assertEquals(3, input.position());
    }

    @Test
    void reportsALineThatReachesTheLimit() {
        assertFalse(new LineDecoder(16).decode(ByteBuffer.wrap(new byte[16]), line -> {}));
    }

    @Test
    void rejectsLinesThatAreNotValidEvents() {
        for (String line : new String[] {
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
            assertThrows(Json.MalformedJsonException.class, () -> AgentEvent.parse(line), line);
        }
    }

    @Property(tries = 1000, seed = "44")
    void throwsOnlyMalformedJsonExceptionForCorruptedLines(@ForAll String noise, @ForAll int position) {
        String line =
                "{\"cmd\":\"outcome\",\"offset\":7,\"req\":\"9b1f03aa5c7e2d41\",\"result\":\"OK\",\"payload\":\"AP8=\"}";
        int cut = Math.floorMod(position, line.length());
        try {
            AgentEvent.parse(line.substring(0, cut) + noise + line.substring(Math.min(line.length(), cut + 2)));
        } catch (Json.MalformedJsonException e) {
            assertEquals(Json.MalformedJsonException.class, e.getClass());
        }
    }
}
