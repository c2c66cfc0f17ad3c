package merlinlever.common.net;

import java.nio.ByteBuffer;

/** The other end of a connection in memory, which reads everything and closes nothing. */
public class RecordingPeer implements Connection.InMemoryPeer {

    /** All bytes received, one character each. */
    public final StringBuilder received = new StringBuilder();

    private Connection end;

    @Override
    public void attach(Connection connection) {
        end = connection;
    }

    @Override
    public void onReceived(ByteBuffer in) {
        while (in.hasRemaining()) {
            received.append((char) in.get());
        }
    }

    @Override
    public void onClosed(CloseReason how) {}

    /** The connection that this peer writes to. */
    public Connection end() {
        return end;
    }
}
