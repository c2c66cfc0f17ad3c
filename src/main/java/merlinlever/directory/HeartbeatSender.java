package merlinlever.directory;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Heartbeats to the directory, one datagram each, which nobody has to receive. */
public final class HeartbeatSender {

    /**
     * A quarter of the reports may be lost, and an entry lapses 3 s after the last. With one a second the third report
     * comes as it lapses: two lost in a row, one in sixteen, take a backend that serves off the list. So five come within.
     */
    public static final Duration PERIOD = Duration.ofMillis(500);

    private final DatagramChannel channel;
    private final String serverName;
    private InetSocketAddress directoryAddress;

    public HeartbeatSender(InetSocketAddress directoryAddress, String serverName) throws IOException {
        this.directoryAddress = directoryAddress;
        this.serverName = serverName;
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    /** Heartbeats go there from now on. */
    public void setAddress(InetSocketAddress there) {
        directoryAddress = there;
    }

    public void send(boolean accepting) {
        byte[] text = ("PULSE " + serverName + (accepting ? " open" : " closed")).getBytes(StandardCharsets.UTF_8);
        try {
            channel.send(ByteBuffer.wrap(text), directoryAddress);
        } catch (IOException e) {
            // Nobody listens, or there is no room now: the next report says the same.
        }
    }
}
