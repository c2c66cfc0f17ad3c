package merlinlever.common.net;

import java.nio.ByteBuffer;

/** The far end of an in-memory connection: it records all received bytes and never closes the connection. */
public class RecordingPeer implements Connection.InMemoryPeer {

    /** All received bytes, one character per byte. */
    public final StringBuilder received = new StringBuilder();

    private Connection connection;

    @Override
    public void attach(Connection attached) {
        connection = attached;
    }

    @Override
    public void onReceived(ByteBuffer input) {
        while (input.hasRemaining()) {
            received.append((char) input.get());
        }
    }

    @Override
    public void onClosed(CloseReason reason) {}

    /** Returns this peer's end of the connection, for writing to the other end. */
    public Connection connection() {
        return connection;
    }
}
