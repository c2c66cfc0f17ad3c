package merlinlever.cli.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import merlinlever.dns.record.MalformedDnsException;
import org.junit.jupiter.api.Test;

class ZoneConfigParserTest {

    @Test
    void onlyFullAddressesAreAccepted() throws Exception {
        InetSocketAddress expected = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 53);
        assertEquals(expected, ZoneConfigParser.address("127.0.0.1:53"));
        assertThrows(MalformedDnsException.class, () -> ZoneConfigParser.address("127.1:53"));
        assertThrows(MalformedDnsException.class, () -> ZoneConfigParser.address("localhost:53"));
    }
}
