package merlinlever.backend.records;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.TestRequests;
import merlinlever.common.log.Log;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.common.net.RecordingPeer;

/** A client of a records service that is simulated by the test; only the test advances the clock. */
abstract class RecordsClientFixture {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

    /** The ends of calls, in order, each as "id outcome reply". */
    final List<String> callOutcomes = new ArrayList<>();

    ManualClockLoop loop;
    RecordsClient client;

    RecordsClient createClient(ManualClockLoop newLoop, InetSocketAddress address, int maxConnections) {
        loop = newLoop;
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        return loop.callOnLoop(() -> new RecordsClient(
                loop.loop,
                address,
                (now, id, outcome, reply) -> callOutcomes.add(
                        id + " " + outcome + (reply == null ? "" : " " + new String(reply, StandardCharsets.UTF_8))),
                log,
                maxConnections));
    }

    void call(long id) {
        loop.runOnLoop(() -> client.call(TestRequests.tracked(id), new byte[] {'b'}, CALL_TIMEOUT));
    }

    /** Waits until as many calls have ended as are given, and asserts that they ended as given. */
    void assertCallOutcomes(String... outcomes) {
        loop.awaitCondition(() -> callOutcomes.size() >= outcomes.length, String.join(", ", outcomes));
        assertEquals(List.of(outcomes), loop.callOnLoop(() -> List.copyOf(callOutcomes)));
    }

    static InetSocketAddress addressOf(ServerSocket server) {
        return new InetSocketAddress(LOOPBACK, server.getLocalPort());
    }

    static ServerSocket openServer() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        server.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
        return server;
    }

    /** Accepts the next connection, and reads the call of the request with the id from it. */
    static Socket acceptCall(ServerSocket server, long id) throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return readCall(socket, id);
    }

    static Socket readCall(Socket socket, long id) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("\r\nb\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed after " + received);
            }
            received.append((char) next);
        }
        assertEquals(String.format("OP %016x", id), received.substring(0, 19));
        return socket;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String doneReply(long id, String body) {
        return String.format("%016x DONE %d\r\n%s\r\n", id, body.length(), body);
    }

    /** An in-memory records service, which reads all bytes of a connection and sends the replies given by the test. */
    static final class InMemoryRecordsService extends RecordingPeer {

        void send(String text) {
            connection().write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }
    }
}
