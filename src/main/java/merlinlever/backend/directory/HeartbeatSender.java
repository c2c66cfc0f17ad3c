package merlinlever.backend.directory;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Sends heartbeats to the directory: one datagram each, without an answer. Used on one thread. */
public final class HeartbeatSender {

    /**
     * The time between two heartbeats. A quarter of them may be lost, and the directory removes an entry 3 s after the
     * last one. With one a second, two lost in a row (one case in sixteen) would remove a healthy backend, as the third
     * comes at the moment of the expiry; with this period five come in time.
     */
    public static final Duration PERIOD = Duration.ofMillis(500);

    private final DatagramChannel channel;
    private final String serverName;
    private InetSocketAddress directoryAddress;

    /**
     * @param serverName the name that the directory lists
     * @throws IOException if no socket can be opened
     */
    public HeartbeatSender(InetSocketAddress directoryAddress, String serverName) throws IOException {
        this.directoryAddress = directoryAddress;
        this.serverName = serverName;
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    /** Sends heartbeats to this address from now on. */
    public void setAddress(InetSocketAddress newAddress) {
        directoryAddress = newAddress;
    }

    /** Sends one heartbeat, or drops it where it cannot be sent now: the next one says the same. */
    public void send(boolean accepting) {
        String text = "PULSE " + serverName + (accepting ? " open" : " closed");
        try {
            channel.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), directoryAddress);
        } catch (IOException e) {
            // Nobody listens, or the system has no buffer left.
        }
    }
}
