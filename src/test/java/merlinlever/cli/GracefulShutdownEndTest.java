package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The last moment of a drain, for clients that rest until the backend ends. */
class GracefulShutdownEndTest extends ServeProcessFixture {

    private static final int STOP_MS = 1000;

    GracefulShutdownEndTest() throws IOException {}

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + program.pid())
                        .start()
                        .waitFor());
    }

    /**
     * A request that is unread as the process would end: held still over its last moment, the process has both before it
     * when it goes on, the bytes and its end. It must not end over what is unread, as that resets the connection.
     */
    @Test
    void requestUnreadAtTheLastMomentGetsAnAnswerOrOrderlyCloseAndNoReset() throws IOException, InterruptedException {
        start(configuration().replace("\"stop_ms\":8000", "\"stop_ms\":" + STOP_MS));
        String line = program.inputReader().readLine();
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket[] resting = new Socket[6];
        for (int i = 0; i < resting.length; i++) {
            resting[i] = send("GET /status/live HTTP/1.1\r\n\r\n");
            assertEquals(200, readAnswer(resting[i]).status());
        }
        signal("TERM");
        long notice = System.nanoTime();
        // Bad from the notice on: it has been heard.
        int status = 200;
        while (status != 503) {
            status = readAnswer(send(resting[0], "GET /status/live HTTP/1.1\r\n\r\n"))
                    .status();
        }
        signal("STOP");
        Socket silent = resting[resting.length - 1];
        for (Socket each : resting) {
            if (each != silent) {
                send(each, httpRequest("look", "", ""));
            }
        }
        // Over its last moment, wherever in its time it was held.
        Thread.sleep(Math.max(0, STOP_MS - (System.nanoTime() - notice) / 1_000_000));
        signal("CONT");
        for (Socket each : resting) {
            InputStream in = each.getInputStream();
            // A reset fails here.
            byte[] got = in.readAllBytes();
            if (got.length > 0) {
                assertEquals("HTTP/1.1 503", new String(got, 0, 12, StandardCharsets.US_ASCII));
            }
            each.close();
        }
        assertTrue(program.waitFor(10, TimeUnit.SECONDS));
        assertEquals(143, program.exitValue());
        // What the half-close does on the sockets is EdgeClosingTest's; here it comes before the end, for those that
        // rest still.
        List<String> log = program.inputReader()
                .lines()
                .map(each -> each.replaceFirst(".* INFO ", ""))
                .toList();
        assertEquals(
                List.of("idle-connections-half-closed read_on_ms=60", "shutdown-finished"),
                log.subList(log.size() - 2, log.size()));
    }
}
