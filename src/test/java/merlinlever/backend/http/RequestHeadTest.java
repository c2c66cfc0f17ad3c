package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import merlinlever.backend.http.RequestHead.HeaderField;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests parsing of valid, malformed and random heads. */
class RequestHeadTest {

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static HttpStatus parse(String text) {
        byte[] bytes = ascii(text);
        return new RequestHead().parse(bytes, 0, bytes.length);
    }

    @Test
    void parsesTheFieldsOfARequest() {
        byte[] bytes = ascii("xxPOST /svc/buy?real=1&b=2 HTTP/1.1\r\nHost: a\r\nreq-ID: 9b1f03aa5c7e2d41\r\n"
                + "Req-Kb:  24.5 \r\nReq-Time: 1764576000123\r\nContent-Length: 12\r\nConnection: Close\r\n\r\nbody");
        RequestHead head = new RequestHead();
        assertEquals(HttpStatus.OK, head.parse(bytes, 2, RequestHead.findEnd(bytes, 2, 2, bytes.length)));
        assertEquals("POST", head.method());
        assertEquals("/svc/buy", head.path());
        assertTrue(
                head.hasQueryParameter("real=1") && head.hasQueryParameter("b=2") && !head.hasQueryParameter("real=2"));
        assertTrue(head.isHex(HeaderField.REQUEST_ID, 16)
                && !head.isHex(HeaderField.REQUEST_ID, 32)
                && !head.isHex(HeaderField.IDEMPOTENCY_KEY, 32));
        assertEquals(24.5, head.number(HeaderField.MEMORY_KB));
        assertEquals(1764576000123L, head.digits(HeaderField.SENT_AT));
        assertEquals(-1, head.digits(HeaderField.MEMORY_KB));
        assertEquals(12, head.contentLength());
        assertTrue(head.closesConnection());
    }

    @Test
    void rejectsMalformedHeadsWithTheMatchingStatus() {
        String start = "POST /svc/a HTTP/1.1\r\n";
        assertEquals(HttpStatus.OK, parse(start + "\r\n"));
        for (String malformedHead : new String[] {
            "POST /svc/a\r\n\r\n",
            "POST svc HTTP/1.1\r\n\r\n",
            "POST /a b HTTP/1.1\r\n\r\n",
            "POST /a HTTP/2.0\r\n\r\n",
            " /a HTTP/1.1\r\n\r\n",
            "P@ST /a HTTP/1.1\r\n\r\n",
            start + "no colon\r\n\r\n",
            start + ": x\r\n\r\n",
            start + "a : x\r\n\r\n",
            start + " folded: x\r\n\r\n",
            start + "a: x\u0001\r\n\r\n",
            start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
            start + "Content-Length: -1\r\n\r\n",
            start + "Content-Length: 1x\r\n\r\n",
            start + "Content-Length:\r\n\r\n",
            start + "Req-Id: a\r\nReq-Id: b\r\n\r\n",
            start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        }) {
            assertEquals(HttpStatus.BAD_REQUEST, parse(malformedHead), malformedHead);
        }
        assertEquals(HttpStatus.OK, parse(start + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n"));
        assertEquals(HttpStatus.CONTENT_TOO_LARGE, parse(start + "Content-Length: 2049\r\n\r\n"));
        assertEquals(HttpStatus.NOT_IMPLEMENTED, parse(start + "Transfer-Encoding: chunked\r\n\r\n"));
    }

    @Property(tries = 500, seed = "42")
    void findsTheEndForAnySplitOfTheInput(@ForAll byte[] body, @ForAll int cut) {
        byte[] head = ascii("GET / HTTP/1.1\r\na: b\r\n\r\n");
        byte[] input = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, input, head.length, body.length);
        int firstLength = Math.floorMod(cut, input.length + 1);
        int end = RequestHead.findEnd(input, 0, 0, firstLength);
        assertEquals(head.length, end >= 0 ? end : RequestHead.findEnd(input, 0, firstLength, input.length));
    }

    @Property(tries = 2000, seed = "43")
    void neverThrowsForCorruptedHeads(@ForAll byte[] noise, @ForAll int position) {
        byte[] bytes =
                ascii("POST /svc/buy?x HTTP/1.1\r\nReq-Kb: 1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 3\r\n\r\n");
        for (int i = 0; i < noise.length && i < 6; i++) {
            bytes[Math.floorMod(position + i * 7, bytes.length)] = noise[i];
        }
        int end = RequestHead.findEnd(bytes, 0, 0, bytes.length);
        if (end > 0) {
            RequestHead head = new RequestHead();
            HttpStatus status = head.parse(bytes, 0, end);
            assertTrue(
                    status == HttpStatus.OK
                            || status == HttpStatus.BAD_REQUEST
                            || status == HttpStatus.CONTENT_TOO_LARGE
                            || status == HttpStatus.NOT_IMPLEMENTED,
                    "" + status);
            if (status == HttpStatus.OK) {
                head.number(HeaderField.MEMORY_KB);
                head.digits(HeaderField.SENT_AT);
                head.closesConnection();
                assertTrue(head.contentLength() <= RequestHead.MAX_BODY_BYTES
                        && head.path().startsWith("/"));
            }
        }
    }
}
