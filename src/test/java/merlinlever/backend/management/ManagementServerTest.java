package merlinlever.backend.management;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import org.junit.jupiter.api.Test;

class ManagementServerTest {

    private static String exchange(InetSocketAddress address, String request) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(4000);
            socket.getOutputStream().write(request.getBytes(UTF_8));
            return new String(socket.getInputStream().readAllBytes(), UTF_8);
        } catch (java.net.SocketException e) {
            return "";
        }
    }

    @Test
    void servesTheStateOnlyAndClosesExcessConnectionsUnread() throws Exception {
        EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        AtomicInteger stateReads = new AtomicInteger();
        ManagementServer server = new ManagementServer(loop, new InetSocketAddress("127.0.0.1", 0), () -> {
            stateReads.incrementAndGet();
            return "{\"phase\":\"warm\"}";
        });
        new Thread(loop::run).start();
        InetSocketAddress address = server.address();
        String response = exchange(address, "GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(
                response.startsWith("HTTP/1.1 200 OK\r\n") && response.endsWith("\r\n\r\n{\"phase\":\"warm\"}"),
                response);
        assertTrue(exchange(address, "POST /state HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 404"));
        assertEquals("", exchange(address, "x".repeat(5000)));
        long startedAt = System.nanoTime();
        assertEquals(
                "", exchange(address, "GET /st"), "connection with an incomplete request is closed after the timeout");
        assertTrue(System.nanoTime() - startedAt > 1_500_000_000L);
        stateReads.set(0);
        startedAt = System.nanoTime();
        for (int i = 0; i < 2000; i++) {
            exchange(address, "GET /state HTTP/1.1\r\n\r\n");
        }
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        assertTrue(stateReads.get() <= 50 * (seconds + 2), stateReads.get() + " in " + seconds + " s");
        loop.execute(server::close);
        loop.stop();
    }
}
