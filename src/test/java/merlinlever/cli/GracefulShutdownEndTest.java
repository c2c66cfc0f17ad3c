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

/** The end of a drain while clients keep idle connections. */
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
     * A request that is unread at the stop time must not lead to a connection reset. The process is paused until after
     * the stop time, so that on resuming it has both unread bytes and an overdue exit.
     */
    @Test
    void requestUnreadAtStopTimeIsAnsweredOrClosedWithoutReset() throws IOException, InterruptedException {
        start(configuration().replace("\"stop_ms\":8000", "\"stop_ms\":" + STOP_MS));
        String line = program.inputReader().readLine();
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket[] idleSockets = new Socket[6];
        for (int i = 0; i < idleSockets.length; i++) {
            idleSockets[i] = send("GET /status/live HTTP/1.1\r\n\r\n");
            assertEquals(200, readResponse(idleSockets[i]).status());
        }
        signal("TERM");
        long signalNanos = System.nanoTime();
        // Waits until the drain has started: the health check fails from then on.
        int status = 200;
        while (status != 503) {
            status = readResponse(send(idleSockets[0], "GET /status/live HTTP/1.1\r\n\r\n"))
                    .status();
        }
        signal("STOP");
        Socket silentSocket = idleSockets[idleSockets.length - 1];
        for (Socket socket : idleSockets) {
            if (socket != silentSocket) {
                send(socket, httpRequest("look", "", ""));
            }
        }
        // Keeps the process paused until after its stop time.
        Thread.sleep(Math.max(0, STOP_MS - (System.nanoTime() - signalNanos) / 1_000_000));
        signal("CONT");
        for (Socket socket : idleSockets) {
            InputStream in = socket.getInputStream();
            // A connection reset throws an exception here.
            byte[] received = in.readAllBytes();
            if (received.length > 0) {
                assertEquals("HTTP/1.1 503", new String(received, 0, 12, StandardCharsets.US_ASCII));
            }
            socket.close();
        }
        assertTrue(program.waitFor(10, TimeUnit.SECONDS));
        assertEquals(143, program.exitValue());
        // Verifies only that the half-close precedes the exit; EdgeCloseRaceTest covers the effect on the sockets.
        List<String> log = program.inputReader()
                .lines()
                .map(entry -> entry.replaceFirst(".* INFO ", ""))
                .toList();
        assertEquals(
                List.of("idle-connections-half-closed read_on_ms=60", "shutdown-finished"),
                log.subList(log.size() - 2, log.size()));
    }
}
