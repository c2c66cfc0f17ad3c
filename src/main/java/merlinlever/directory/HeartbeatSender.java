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
    private final String name;
    private InetSocketAddress address;

    public HeartbeatSender(InetSocketAddress address, String name) throws IOException {
        this.address = address;
        this.name = name;
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    /** Heartbeats go there from now on. */
    public void moveTo(InetSocketAddress there) {
        address = there;
    }

    public void beat(boolean open) {
        byte[] text = ("PULSE " + name + (open ? " open" : " closed")).getBytes(StandardCharsets.UTF_8);
        try {
            channel.send(ByteBuffer.wrap(text), address);
        } catch (IOException e) {
            // Nobody listens, or there is no room now: the next report says the same.
        }
    }
}
