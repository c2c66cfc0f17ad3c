package merlinlever.common.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** One end of a connection between two handlers on the same event loop. */
final class InMemoryConnection extends Connection {

    private InMemoryConnection peer;
    /** What the peer has written and was not read here yet. */
    private final ArrayDeque<ByteBuffer> arriving = new ArrayDeque<>(0);

    private InMemoryConnection(EventLoop loop, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        super(loop, handler, readBufferBytes, maxQueuedBytes);
        setConnected();
    }

    static Connection pair(
            EventLoop loop, Handler handler, InMemoryPeer peerHandler, int readBufferBytes, int maxQueuedBytes) {
        InMemoryConnection near = new InMemoryConnection(loop, handler, readBufferBytes, maxQueuedBytes);
        InMemoryConnection far = new InMemoryConnection(loop, peerHandler, readBufferBytes, maxQueuedBytes);
        near.peer = far;
        far.peer = near;
        peerHandler.attach(far);
        return near;
    }

    @Override
    void startReading() {
        while (canReceive() && !arriving.isEmpty()) {
            ByteBuffer next = arriving.peek();
            int count = Math.min(next.remaining(), input().remaining());
            input().put(next.slice(next.position(), count));
            next.position(next.position() + count);
            if (!next.hasRemaining()) {
                arriving.poll();
            }
            deliver();
        }
    }

    @Override
    boolean isInputInUse() {
        return false;
    }

    @Override
    void startWriting() {
        peer.arriving.addAll(outgoing());
        clearQueue();
        loop().execute(peer::resumeReading);
        notifyFlushed();
    }

    @Override
    boolean isWritePending() {
        return false;
    }

    @Override
    void shutdownTransportOutput() {
        // The peer needs no end of stream: it sees the close.
    }

    @Override
    void closeTransport() {
        loop().execute(() -> peer.close(CloseReason.CLOSED_BY_PEER));
    }
}
