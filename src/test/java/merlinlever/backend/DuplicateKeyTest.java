package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The string format of keys must not change, as the hash of the string selects a route. */
class DuplicateKeyTest {

    @Test
    void textHasTheFormatOfEarlierVersions() {
        assertEquals("token 5f2e", DuplicateKey.ofIdempotencyKey("5f2e").text());
        assertEquals("3 a1", DuplicateKey.ofSharedRead(3, "a1").text());
        assertEquals(
                "0000000000000007",
                TestRequests.tracked(7).routingKey(),
                "a request without a key is routed by its id");
    }
}
