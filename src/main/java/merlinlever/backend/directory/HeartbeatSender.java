package merlinlever.backend.directory;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Sends heartbeats to the directory, each as one datagram without a reply. Not thread-safe. */
public final class HeartbeatSender {

    /**
     * Time between two heartbeats. The directory removes an entry 3 s after its last heartbeat. Five further heartbeats
     * are due within that time, so that the loss of a quarter of all datagrams rarely removes a healthy backend. With
     * one heartbeat a second, the loss of two in a row, one case in sixteen, would remove it: the third is due at the
     * moment of the removal.
     */
    public static final Duration PERIOD = Duration.ofMillis(500);

    private final DatagramChannel channel;
    private final String serverName;
    private InetSocketAddress directoryAddress;

    /**
     * @param serverName the name of the server's directory entry
     * @throws IOException if no socket can be opened
     */
    public HeartbeatSender(InetSocketAddress directoryAddress, String serverName) throws IOException {
        this.directoryAddress = directoryAddress;
        this.serverName = serverName;
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    /** Sets the address that further heartbeats are sent to. */
    public void setAddress(InetSocketAddress newAddress) {
        directoryAddress = newAddress;
    }

    /** Sends one heartbeat, or drops it if it cannot be sent, as the next heartbeat carries the same information. */
    public void send(boolean accepting) {
        String text = "PULSE " + serverName + (accepting ? " open" : " closed");
        try {
            channel.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), directoryAddress);
        } catch (IOException e) {
            // The directory is unreachable or the socket buffer is full; the next heartbeat follows in any case.
        }
    }
}
