package merlinlever.backend.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LineDecoderTest {

    /** Only overlong lines are skipped, and the buffer never fills up, for any split of the input. */
    @Property(tries = 200, seed = "36")
    void skipsOnlyOverlongLinesForAnySplitOfTheInput(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] all = ("one\n" + "x".repeat(40 + random.nextInt(60)) + "\ntwo\n" + "y".repeat(70) + "\nthree\n")
                .getBytes(StandardCharsets.UTF_8);
        ByteBuffer input = ByteBuffer.allocate(32);
        LineDecoder decoder = new LineDecoder(32);
        List<String> lines = new ArrayList<>();
        int bytesSent = 0;
        while (bytesSent < all.length) {
            int chunkBytes = Math.min(all.length - bytesSent, 1 + random.nextInt(input.remaining()));
            input.put(all, bytesSent, chunkBytes);
            bytesSent += chunkBytes;
            input.flip();
            if (!decoder.decode(input, lines::add)) {
                decoder.skipLine(input);
            }
            input.compact();
        }
        assertEquals(List.of("one", "two", "three"), lines);
    }
}
