package merlinlever.agent;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts what is read into lines; the bytes of a line that is not whole are left, and not looked at twice. */
public final class LineDecoder {

    private final int longest;
    private int seen;
    private boolean passingOver;

    public LineDecoder(int longest) {
        this.longest = longest;
    }

    /** Hands over each whole line without its end; says whether what is left may still become one. */
    public boolean take(ByteBuffer in, Consumer<String> taker) {
        byte[] bytes = in.array();
        int start = in.position();
        for (int at = start + seen; at < in.limit(); at++) {
            if (bytes[at] == '\n') {
                in.position(at + 1);
                if (!passingOver) {
                    taker.accept(new String(bytes, start, at - start, StandardCharsets.UTF_8));
                }
                passingOver = false;
                start = at + 1;
            }
        }
        if (passingOver) {
            in.position(in.limit());
        }
        seen = in.remaining();
        return seen < longest;
    }

    /** Of the line that is not whole, what came and what will still come is not handed over. */
    public void passOver(ByteBuffer in) {
        passingOver = true;
        in.position(in.limit());
        seen = 0;
    }
}
