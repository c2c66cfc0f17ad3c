package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SocketAddressesTest {

    @Test
    void numericAddressesAreParsedAndFormattedBack() throws Exception {
        assertEquals(
                Optional.of(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 53)),
                SocketAddresses.parse("127.0.0.1:53"));
        assertEquals(
                Optional.of(new InetSocketAddress(InetAddress.getByName("::1"), 0)), SocketAddresses.parse("[::1]:0"));
        for (String text : new String[] {"10.1.2.3:65535", "[0:0:0:0:0:0:0:1]:1"}) {
            assertEquals(
                    text, SocketAddresses.format(SocketAddresses.parse(text).orElseThrow()));
        }
    }

    @Test
    void hostNamesIpv6AddressesWithoutBracketsAndInvalidPortsAreRejected() {
        for (String text : new String[] {
            "",
            ":",
            ":53",
            "127.0.0.1",
            "localhost:53",
            "::1:53",
            "127.0.0.1:",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "127.0.0.1:123456",
            "127.0.0.1: 1",
            "[127.0.0.1:1"
        }) {
            assertEquals(Optional.empty(), SocketAddresses.parse(text), text);
        }
    }
}
