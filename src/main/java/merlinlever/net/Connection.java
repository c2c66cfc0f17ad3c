package merlinlever.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One connection: reads into one buffer that its user takes whole messages from, and writes what is queued at the end
 * of each batch in one gathered write. It ends once, in one way.
 */
public final class Connection {

    /** Who uses a connection. */
    public interface Handler {
        /** It is made; for one that was accepted this is not called. */
        default void made() {}

        /** Bytes lie between position and limit; those that are taken are passed over, the others come again. */
        void read(ByteBuffer in);

        /** All that was queued has been handed to the system. */
        default void written() {}

        /** It is over; called once. */
        void ended(CloseReason how);
    }

    /** A party in this process, at the other end of a connection in memory. */
    public interface InMemoryPeer extends Handler {
        /** Called once, before anything else. */
        void on(Connection mine);
    }

    private static final int BUFFERS_A_WRITE = 16;

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Handler user;
    private final ByteBuffer in;
    /** What a pending read brings while something lies in {@link #in}; made where that comes up. */
    private ByteBuffer beside;

    private final int mostQueued;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private int queued;
    private boolean reading, readingBeside, taking, writing, asked, made;
    private CloseReason ended;
    /** In memory: the other end, and what it has written and was not read here yet. */
    private Connection other;

    private final ArrayDeque<ByteBuffer> arriving = new ArrayDeque<>(0);

    private Connection(
            EventLoop loop, AsynchronousSocketChannel channel, Handler user, int readBuffer, int mostQueued) {
        this.loop = loop;
        this.channel = channel;
        this.user = user;
        this.mostQueued = mostQueued;
        in = ByteBuffer.allocate(readBuffer);
        if (channel == null) {
            made = true;
            return;
        }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            // Only a matter of speed; a channel that is broken will say so when it is read.
        }
    }

    /** One that was accepted; {@link #start} begins to read. */
    public static Connection accepted(
            EventLoop loop, AsynchronousSocketChannel channel, Handler user, int readBuffer, int mostQueued) {
        Connection connection = new Connection(loop, channel, user, readBuffer, mostQueued);
        connection.made = true;
        return connection;
    }

    /** One in memory between two users on the loop; returns the end of the first. */
    public static Connection pair(EventLoop loop, Handler user, InMemoryPeer party, int readBuffer, int mostQueued) {
        Connection here = new Connection(loop, null, user, readBuffer, mostQueued);
        here.other = new Connection(loop, null, party, readBuffer, mostQueued);
        here.other.other = here;
        party.on(here.other);
        return here;
    }

    /** Makes one; what is queued before it is made is written then. Its end comes later even if it fails at once. */
    public static Connection to(
            EventLoop loop, SocketAddress address, Handler user, int readBuffer, int mostQueued, Duration patience)
            throws IOException {
        InMemoryPeer party = loop.party(address);
        if (party != null) {
            Connection here = pair(loop, user, party, readBuffer, mostQueued);
            loop.execute(user::made);
            return here;
        }
        Connection connection =
                new Connection(loop, AsynchronousSocketChannel.open(loop.group()), user, readBuffer, mostQueued);
        EventLoop.Timer late = loop.in(patience, () -> connection.notMade(CloseReason.NOT_MADE));
        loop.execute(() -> connection.connect(address, late));
        return connection;
    }

    private void connect(SocketAddress address, EventLoop.Timer late) {
        if (ended != null) {
            return;
        }
        channel.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                late.callOff();
                if (ended == null) {
                    made = true;
                    tell(user::made);
                    wantWrite();
                    readOn();
                }
            }

            @Override
            public void failed(Throwable cause, Void none) {
                late.callOff();
                notMade(CloseReason.REFUSED);
            }
        });
    }

    private void notMade(CloseReason how) {
        if (!made) {
            end(how);
        }
    }

    public CloseReason ended() {
        return ended;
    }

    /** Goes on reading if there is room: after {@link Handler#read} has taken something that it left before. */
    public void readOn() {
        if (reading || taking || ended != null || !made || !in.hasRemaining()) {
            return;
        }
        if (other != null) {
            arrive();
            return;
        }
        reading = true;
        // The channel's thread fills the buffer at any moment from here on, so nobody else may touch that one.
        readingBeside = in.position() > 0;
        channel.read(readingBeside ? beside() : in, null, ON_READ);
    }

    private ByteBuffer beside() {
        if (beside == null) {
            beside = ByteBuffer.allocate(in.capacity());
        }
        return beside.clear().limit(in.remaining());
    }

    private void arrive() {
        while (ended == null && !taking && !arriving.isEmpty() && in.hasRemaining()) {
            ByteBuffer next = arriving.peek();
            ByteBuffer part = next.slice(next.position(), Math.min(next.remaining(), in.remaining()));
            next.position(next.position() + part.remaining());
            in.put(part);
            if (!next.hasRemaining()) {
                arriving.poll();
            }
            take();
        }
    }

    /** Offers what has been read and was left; a read that is pending may be filling an empty buffer meanwhile. */
    public void readAgain() {
        boolean filling = reading && !readingBeside;
        if (!filling && !taking && ended == null && in.position() > 0) {
            take();
        }
        readOn();
    }

    private void take() {
        taking = true;
        in.flip();
        boolean well = loop.guarded(() -> user.read(in));
        in.compact();
        taking = false;
        if (!well) {
            end(CloseReason.FAILED);
        }
    }

    private void tell(Runnable what) {
        if (!loop.guarded(what)) {
            end(CloseReason.FAILED);
        }
    }

    private final CompletionHandler<Integer, Void> ON_READ = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
            reading = false;
            if (ended != null) {
                return;
            }
            if (count < 0) {
                end(CloseReason.CLOSED_THERE);
                return;
            }
            if (readingBeside) {
                in.put(beside.flip());
            }
            take();
            readOn();
        }

        @Override
        public void failed(Throwable cause, Void none) {
            reading = false;
            end(CloseReason.BROKEN);
        }
    };

    /** Queues the bytes; they leave at the end of the batch. */
    public void write(ByteBuffer... buffers) {
        if (ended != null) {
            return;
        }
        for (ByteBuffer buffer : buffers) {
            if (buffer.hasRemaining()) {
                queued += buffer.remaining();
                out.add(buffer);
            }
        }
        if (queued > mostQueued) {
            end(CloseReason.OVERFULL);
            return;
        }
        wantWrite();
    }

    private void wantWrite() {
        if (made && !asked && !writing && !out.isEmpty()) {
            asked = true;
            loop.wantsWriting(this);
        }
    }

    void writeOut() {
        asked = false;
        if (writing || ended != null || out.isEmpty()) {
            return;
        }
        if (other != null) {
            other.arriving.addAll(out);
            out.clear();
            queued = 0;
            loop.execute(other::readOn);
            tell(user::written);
            return;
        }
        writing = true;
        ByteBuffer[] some = out.stream().limit(BUFFERS_A_WRITE).toArray(ByteBuffer[]::new);
        channel.write(some, 0, some.length, 0, TimeUnit.SECONDS, null, ON_WRITTEN);
    }

    private final CompletionHandler<Long, Void> ON_WRITTEN = new CompletionHandler<>() {
        @Override
        public void completed(Long count, Void none) {
            writing = false;
            queued -= (int) (long) count;
            while (!out.isEmpty() && !out.peek().hasRemaining()) {
                out.poll();
            }
            if (ended != null) {
                return;
            }
            if (out.isEmpty()) {
                tell(user::written);
            } else {
                wantWrite();
            }
        }

        @Override
        public void failed(Throwable cause, Void none) {
            writing = false;
            end(CloseReason.BROKEN);
        }
    };

    /** Says to the other side that nothing more will be written. */
    public void writeNoMore() {
        try {
            if (ended == null && other == null) {
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            end(CloseReason.BROKEN);
        }
    }

    /** Ends it; a second end changes nothing. */
    public void end(CloseReason how) {
        if (ended != null) {
            return;
        }
        ended = how;
        out.clear();
        queued = 0;
        if (other != null) {
            loop.execute(() -> other.end(CloseReason.CLOSED_THERE));
        } else {
            try {
                channel.close();
            } catch (IOException e) {
                // It is gone either way.
            }
        }
        user.ended(how);
    }
}
