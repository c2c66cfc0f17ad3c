package merlinlever.common.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** One end of an in-memory connection between two handlers on the same event loop. */
final class InMemoryConnection extends Connection {

    private InMemoryConnection peer;
    /** The buffers written by the peer and not yet read at this end. */
    private final ArrayDeque<ByteBuffer> unread = new ArrayDeque<>(0);

    private InMemoryConnection(EventLoop loop, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        super(loop, handler, readBufferBytes, maxQueuedBytes);
        setConnected();
    }

    static Connection pair(
            EventLoop loop, Handler handler, InMemoryPeer peerHandler, int readBufferBytes, int maxQueuedBytes) {
        InMemoryConnection nearEnd = new InMemoryConnection(loop, handler, readBufferBytes, maxQueuedBytes);
        InMemoryConnection farEnd = new InMemoryConnection(loop, peerHandler, readBufferBytes, maxQueuedBytes);
        nearEnd.peer = farEnd;
        farEnd.peer = nearEnd;
        peerHandler.attach(farEnd);
        return nearEnd;
    }

    @Override
    void startReading() {
        while (canReceive() && !unread.isEmpty()) {
            ByteBuffer next = unread.peek();
            int count = Math.min(next.remaining(), input().remaining());
            input().put(next.slice(next.position(), count));
            next.position(next.position() + count);
            if (!next.hasRemaining()) {
                unread.poll();
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
        peer.unread.addAll(outgoing());
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
        // The peer is notified when the connection is closed.
    }

    @Override
    void closeTransport() {
        loop().execute(() -> peer.close(CloseReason.CLOSED_BY_PEER));
    }
}
