package merlinlever.backend.agent;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a byte stream into lines. The bytes of an incomplete line remain in the buffer and are not scanned again. */
public final class LineDecoder {

    private final int maxLineBytes;
    /** Number of bytes at the front of the buffer that have been scanned and contain no line end. */
    private int scannedBytes;

    private boolean skippingLine;

    /** @param maxLineBytes lines of this length or longer are rejected */
    public LineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Passes each complete line, without its line end, to the consumer.
     *
     * @param input an array-backed buffer; its position moves past the last line end
     * @return whether the remaining incomplete line is still below the limit; if not, the caller drops the line with
     *     {@link #skipLine}
     */
    public boolean decode(ByteBuffer input, Consumer<String> lineConsumer) {
        byte[] bytes = input.array();
        int start = input.position();
        for (int index = start + scannedBytes; index < input.limit(); index++) {
            if (bytes[index] == '\n') {
                input.position(index + 1);
                if (!skippingLine) {
                    lineConsumer.accept(new String(bytes, start, index - start, StandardCharsets.UTF_8));
                }
                skippingLine = false;
                start = index + 1;
            }
        }
        if (skippingLine) {
            input.position(input.limit());
        }
        scannedBytes = input.remaining();
        return scannedBytes < maxLineBytes;
    }

    /** Drops the incomplete line: the bytes received so far and all further bytes up to the line end. */
    public void skipLine(ByteBuffer input) {
        skippingLine = true;
        input.position(input.limit());
        scannedBytes = 0;
    }
}
