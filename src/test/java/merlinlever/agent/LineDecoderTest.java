package merlinlever.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LineDecoderTest {

    /** A line that is too long crosses the lines round it in any pieces: it alone is passed over, and no buffer is full. */
    @Property(tries = 200, seed = "36")
    void anOverlongLineAloneIsSkippedWhereverTheBytesAreSplit(@ForAll long seed) {
        Random chance = new Random(seed);
        byte[] all = ("one\n" + "x".repeat(40 + chance.nextInt(60)) + "\ntwo\n" + "y".repeat(70) + "\nthree\n")
                .getBytes(StandardCharsets.UTF_8);
        ByteBuffer in = ByteBuffer.allocate(32);
        LineDecoder lines = new LineDecoder(32);
        List<String> heard = new ArrayList<>();
        int sent = 0;
        while (sent < all.length) {
            int part = Math.min(all.length - sent, 1 + chance.nextInt(in.remaining()));
            in.put(all, sent, part);
            sent += part;
            in.flip();
            if (!lines.decode(in, heard::add)) {
                lines.skipLine(in);
            }
            in.compact();
        }
        assertEquals(List.of("one", "two", "three"), heard);
    }
}
