package merlinlever.agent;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts what is read into lines; the bytes of a line that is not whole are left, and not looked at twice. */
public final class LineDecoder {

    private final int maxLineBytes;
    private int scannedBytes;
    private boolean skipping;

    public LineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Hands over each whole line without its end; says whether what is left may still become one. */
    public boolean decode(ByteBuffer input, Consumer<String> lineConsumer) {
        byte[] bytes = input.array();
        int start = input.position();
        for (int at = start + scannedBytes; at < input.limit(); at++) {
            if (bytes[at] == '\n') {
                input.position(at + 1);
                if (!skipping) {
                    lineConsumer.accept(new String(bytes, start, at - start, StandardCharsets.UTF_8));
                }
                skipping = false;
                start = at + 1;
            }
        }
        if (skipping) {
            input.position(input.limit());
        }
        scannedBytes = input.remaining();
        return scannedBytes < maxLineBytes;
    }

    /** Of the line that is not whole, what came and what will still come is not handed over. */
    public void skipLine(ByteBuffer input) {
        skipping = true;
        input.position(input.limit());
        scannedBytes = 0;
    }
}
