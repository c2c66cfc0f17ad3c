package merlinlever.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The one thread on which all completion handlers and timers run. What is ready is a batch; after each batch the
 * {@code after} hook runs and then all connections that have something to write are written to, once each.
 */
public final class EventLoop extends AbstractExecutorService {

    private static final int LARGEST_BATCH = 256;

    /** Something to be done at a time, unless it was called off. */
    public static final class Timer {
        private final long at;
        private final long order;
        private Runnable task;

        private Timer(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        public void callOff() {
            task = null;
        }
    }

    private final MonotonicClock clock;
    private final Consumer<Throwable> failures;
    /**
     * Without locks or conditions: wherever a thread that hands something over is held, the loop goes on. A timed wait on
     * a condition turns round without waiting while the one that signals is held between two steps of it.
     */
    private final Queue<Runnable> ready = new ConcurrentLinkedQueue<>();
    /** The thread that runs it, once there is one. */
    private volatile Thread runner;

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.<Timer>comparingLong(t -> t.at).thenComparingLong(t -> t.order));
    private final AsynchronousChannelGroup group;
    private final Function<SocketAddress, Connection.InMemoryPeer> parties;
    private List<Connection> unwritten = new ArrayList<>();
    private Runnable after = () -> {};
    private long timersSet;
    private volatile boolean stopping;

    public EventLoop(MonotonicClock clock, Consumer<Throwable> failures) throws IOException {
        this.clock = clock;
        this.failures = failures;
        group = AsynchronousChannelGroup.withThreadPool(this);
        parties = address -> null;
    }

    /** Without sockets: whatever is connected to on it is a party in this process. */
    public EventLoop(
            MonotonicClock clock,
            Consumer<Throwable> failures,
            Function<SocketAddress, Connection.InMemoryPeer> parties) {
        this.clock = clock;
        this.failures = failures;
        this.parties = parties;
        group = null;
    }

    /** Who is at the address, if it is someone in this process. */
    Connection.InMemoryPeer party(SocketAddress address) {
        return parties.apply(address);
    }

    public AsynchronousChannelGroup group() {
        return group;
    }

    public MonotonicClock clock() {
        return clock;
    }

    /** Runs after each batch, before anything is written. */
    public void after(Runnable hook) {
        after = hook;
    }

    public Timer in(Duration span, Runnable task) {
        Timer timer = new Timer(clock.nanoTime() + span.toNanos(), timersSet++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the task now and then again and again, each time so long after the last run began. */
    public void every(Duration span, Runnable task) {
        in(span, () -> every(span, task));
        task.run();
    }

    @Override
    public void execute(Runnable task) {
        ready.add(task);
        Thread waiting = runner;
        if (waiting != null && waiting != Thread.currentThread()) {
            LockSupport.unpark(waiting);
        }
    }

    void wantsWriting(Connection connection) {
        unwritten.add(connection);
    }

    /** Runs on the calling thread until {@link #stop}. */
    public void run() {
        runner = Thread.currentThread();
        while (!stopping && !runner.isInterrupted()) {
            Runnable first = ready.poll();
            if (first == null) {
                // What is added after this look wakes it, or lets it not sleep at all.
                LockSupport.parkNanos(this, untilNextTimer());
                first = ready.poll();
            }
            batch(first);
        }
    }

    /** Ends it with the batch that runs now, or at once where it waits for one. */
    public void stop() {
        stopping = true;
        execute(() -> {});
    }

    private long untilNextTimer() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at - clock.nanoTime();
    }

    private void batch(Runnable first) {
        int done = 0;
        for (Runnable task = first; task != null; task = ++done < LARGEST_BATCH ? ready.poll() : null) {
            guarded(task);
        }
        // Only those due now: a task that sets the next timer in the past does not keep the loop here.
        long now = clock.nanoTime();
        List<Timer> due = new ArrayList<>(0);
        while (!timers.isEmpty() && timers.peek().at - now <= 0) {
            due.add(timers.poll());
        }
        for (Timer timer : due) {
            if (timer.task != null) {
                guarded(timer.task);
            }
        }
        do {
            guarded(after);
            List<Connection> writing = unwritten;
            unwritten = new ArrayList<>();
            writing.forEach(connection -> guarded(connection::writeOut));
        } while (!unwritten.isEmpty());
    }

    /** Runs a part whose failure is told and ends nothing else; says whether it went well. */
    boolean guarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            failures.accept(e);
            return false;
        }
    }

    @Override
    public void shutdown() {
        stop();
    }

    @Override
    public List<Runnable> shutdownNow() {
        stop();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return stopping;
    }

    @Override
    public boolean isTerminated() {
        return stopping;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return stopping;
    }
}
