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

    /** An overlong line among others, in any pieces: it alone is skipped, and the buffer never fills up. */
    @Property(tries = 200, seed = "36")
    void anOverlongLineAloneIsSkippedWhereverTheBytesAreSplit(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] all = ("one\n" + "x".repeat(40 + random.nextInt(60)) + "\ntwo\n" + "y".repeat(70) + "\nthree\n")
                .getBytes(StandardCharsets.UTF_8);
        ByteBuffer in = ByteBuffer.allocate(32);
        LineDecoder decoder = new LineDecoder(32);
        List<String> lines = new ArrayList<>();
        int sent = 0;
        while (sent < all.length) {
            int part = Math.min(all.length - sent, 1 + random.nextInt(in.remaining()));
            in.put(all, sent, part);
            sent += part;
            in.flip();
            if (!decoder.decode(in, lines::add)) {
                decoder.skipLine(in);
            }
            in.compact();
        }
        assertEquals(List.of("one", "two", "three"), lines);
    }
}
