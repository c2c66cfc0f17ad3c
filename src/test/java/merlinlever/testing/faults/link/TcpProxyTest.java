package merlinlever.testing.faults.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TcpProxyTest {

    private static final byte[] REQUEST = "request".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] RESPONSE = "response".getBytes(StandardCharsets.US_ASCII);

    private final LinkFaults links = new LinkFaults(2);
    private EventLoop loop;
    private ServerSocket server;
    private TcpProxy proxy;
    private Socket client;
    private Socket accepted;

    @BeforeEach
    void connect() throws Exception {
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress front = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        proxy = new TcpProxy(loop, links, 0, 1, front, (InetSocketAddress) server.getLocalSocketAddress(), 1);
        new Thread(loop::run).start();
        client = new Socket(proxy.front().getAddress(), proxy.front().getPort());
        client.setSoTimeout(5000);
        accepted = server.accept();
        accepted.setSoTimeout(5000);
    }

    @AfterEach
    void close() throws Exception {
        onLoop(proxy::close);
        loop.stop();
        client.close();
        accepted.close();
        server.close();
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            task.run();
            done.complete(null);
        });
        done.get(5, TimeUnit.SECONDS);
    }

    private void exchange() throws IOException {
        client.getOutputStream().write(REQUEST);
        assertArrayEquals(REQUEST, accepted.getInputStream().readNBytes(REQUEST.length));
        accepted.getOutputStream().write(RESPONSE);
        assertArrayEquals(RESPONSE, client.getInputStream().readNBytes(RESPONSE.length));
    }

    @Test
    void relaysBothDirectionsAndHalfClose() throws Exception {
        exchange();
        client.shutdownOutput();
        assertEquals(-1, accepted.getInputStream().read());
        accepted.getOutputStream().write(RESPONSE);
        assertArrayEquals(RESPONSE, client.getInputStream().readNBytes(RESPONSE.length));
    }

    @Test
    void aCutLinkHoldsBytesUntilItHeals() throws Exception {
        onLoop(() -> links.set(0, 1, LinkFaults.LinkFault.CUT));
        client.getOutputStream().write(REQUEST);
        accepted.setSoTimeout((int) Duration.ofMillis(200).toMillis());
        assertThrows(
                SocketTimeoutException.class, () -> accepted.getInputStream().read());
        accepted.setSoTimeout((int) Duration.ofSeconds(5).toMillis());
        onLoop(links::heal);
        assertArrayEquals(REQUEST, accepted.getInputStream().readNBytes(REQUEST.length));
    }

    @Test
    void aResetAbortsAnOpenConnection() throws Exception {
        exchange();
        onLoop(() -> {
            links.reset(0, 1);
            proxy.applyResets();
        });
        assertThrows(SocketException.class, () -> client.getInputStream().read());
    }
}
