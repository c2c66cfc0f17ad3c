package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The form of the keys, by whose hash routes are selected. */
class DuplicateKeyTest {

    @Test
    void textsAreThoseOfEarlierVersions() {
        assertEquals("token 5f2e", DuplicateKey.ofIdempotencyKey("5f2e").text());
        assertEquals("3 a1", DuplicateKey.ofSharedRead(3, "a1").text());
        assertEquals("0000000000000007", TestRequests.tracked(7).routingKey(), "the id where there is no key");
    }
}
