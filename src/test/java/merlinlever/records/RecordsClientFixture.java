package merlinlever.records;

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
import merlinlever.core.TestRequests;
import merlinlever.log.Log;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.ManualClockLoop;

/** The link to a records service that the test plays; time stands still but where the test moves it on. */
abstract class RecordsClientFixture {

    static final InetAddress HERE = InetAddress.getLoopbackAddress();
    static final Duration LIMIT = Duration.ofMillis(300);

    /** How each call ended, in order, as "id ending reply". */
    final List<String> ended = new ArrayList<>();

    ManualClockLoop driven;
    RecordsClient link;

    RecordsClient link(ManualClockLoop on, InetSocketAddress address, int most) {
        driven = on;
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        return driven.on(() -> new RecordsClient(
                driven.loop,
                address,
                (now, id, how, reply) -> ended.add(
                        id + " " + how + (reply == null ? "" : " " + new String(reply, StandardCharsets.UTF_8))),
                log,
                most));
    }

    void call(long id) {
        driven.run(() -> link.call(TestRequests.tracked(id), new byte[] {'b'}, LIMIT));
    }

    /** So many calls have ended, and these were they. */
    void hasEnded(String... what) {
        driven.until(() -> ended.size() >= what.length, String.join(", ", what));
        assertEquals(List.of(what), driven.on(() -> List.copyOf(ended)));
    }

    static InetSocketAddress at(ServerSocket place) {
        return new InetSocketAddress(HERE, place.getLocalPort());
    }

    static ServerSocket place() throws IOException {
        ServerSocket place = new ServerSocket(0, 50, HERE);
        place.setSoTimeout(ManualClockLoop.PATIENCE_MS);
        return place;
    }

    /** The next connection, on which the operation's call has come. */
    static Socket accept(ServerSocket place, long id) throws IOException {
        Socket socket = place.accept();
        socket.setSoTimeout(ManualClockLoop.PATIENCE_MS);
        socket.setTcpNoDelay(true);
        return hear(socket, id);
    }

    static Socket hear(Socket socket, long id) throws IOException {
        StringBuilder heard = new StringBuilder();
        while (!heard.toString().endsWith("\r\nb\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed after " + heard);
            }
            heard.append((char) next);
        }
        assertEquals(String.format("OP %016x", id), heard.substring(0, 19));
        return socket;
    }

    static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String done(long id, String body) {
        return String.format("%016x DONE %d\r\n%s\r\n", id, body.length(), body);
    }

    /** The service in memory: every connection takes all and says what the test says. */
    static final class InMemoryRecordsService implements Connection.InMemoryPeer {
        Connection mine;
        final StringBuilder heard = new StringBuilder();

        @Override
        public void on(Connection connection) {
            mine = connection;
        }

        @Override
        public void read(ByteBuffer in) {
            while (in.hasRemaining()) {
                heard.append((char) in.get());
            }
        }

        @Override
        public void ended(CloseReason how) {}

        void say(String text) {
            mine.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }
    }
}
