package merlinlever.backend.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import merlinlever.compatibility.Fixture;
import org.junit.jupiter.api.Test;

/** Compares responses to edge nodes with their recorded bytes. */
class EdgeBytesTest extends EdgeServerFixture {

    private final Fixture fixture = new Fixture("edge.txt");

    EdgeBytesTest() throws IOException {}

    @Test
    void sendsEachResponseAsRecorded() throws Exception {
        listen(10);
        Socket socket = send(HEALTH_CHECK);
        fixture.assertMatches("check", readResponse(socket));
        for (String[] nameAndRequest : new String[][] {
            {"no-tariff", request("", "x").replace("/svc/look", "/svc/none")},
            {"no-body", "POST /svc/look HTTP/1.1\r\n\r\n"},
            {"get", "GET /svc/look HTTP/1.1\r\n\r\n"},
            {"bad", "POST\r\n\r\n"},
            {"long", "POST /svc/look HTTP/1.1\r\nContent-Length: 3000\r\n\r\n"},
            {"chunked", "POST /svc/look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"}
        }) {
            fixture.assertMatches(nameAndRequest[0], readResponse(send(nameAndRequest[1])));
        }
        write(socket, request("", "body"));
        awaitAgentCommands(1);
        completeRun(agentCommands.get(0), "result".getBytes(StandardCharsets.US_ASCII));
        fixture.assertMatches("satisfied", readResponse(socket));
    }
}
