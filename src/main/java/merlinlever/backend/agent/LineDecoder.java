package merlinlever.backend.agent;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a stream of bytes into lines; bytes of an incomplete line stay in the buffer and are not scanned twice. */
public final class LineDecoder {

    private final int maxLineBytes;
    /** Bytes at the front of the buffer that are known to hold no line end. */
    private int scannedBytes;

    private boolean skipping;

    /** @param maxLineBytes a line of this length or longer is rejected */
    public LineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Hands over each complete line without its line end.
     *
     * @param input an array-backed buffer; its position moves behind the last line end
     * @return whether the rest may still become a line; if not, {@link #skipLine} drops it
     */
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

    /** Drops the incomplete line: its bytes so far, and those to come up to its line end. */
    public void skipLine(ByteBuffer input) {
        skipping = true;
        input.position(input.limit());
        scannedBytes = 0;
    }
}
