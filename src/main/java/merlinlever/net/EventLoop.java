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

    private static final int MAX_BATCH_TASKS = 256;

    /** Something to be done at a time, unless it was called off. */
    public static final class Timer {
        private final long dueNanos;
        private final long sequence;
        private Runnable task;

        private Timer(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }
    }

    private final MonotonicClock clock;
    private final Consumer<Throwable> failureHandler;
    /**
     * Without locks or conditions: wherever a thread that hands something over is held, the loop goes on. A timed wait on
     * a condition turns round without waiting while the one that signals is held between two steps of it.
     */
    private final Queue<Runnable> readyTasks = new ConcurrentLinkedQueue<>();
    /** The thread that runs it, once there is one. */
    private volatile Thread loopThread;

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.<Timer>comparingLong(t -> t.dueNanos).thenComparingLong(t -> t.sequence));
    private final AsynchronousChannelGroup group;
    private final Function<SocketAddress, Connection.InMemoryPeer> inMemoryPeers;
    private List<Connection> pendingFlushes = new ArrayList<>();
    private Runnable afterBatch = () -> {};
    private long timersScheduled;
    private volatile boolean stopping;

    public EventLoop(MonotonicClock clock, Consumer<Throwable> failureHandler) throws IOException {
        this.clock = clock;
        this.failureHandler = failureHandler;
        group = AsynchronousChannelGroup.withThreadPool(this);
        inMemoryPeers = address -> null;
    }

    /** Without sockets: whatever is connected to on it is a party in this process. */
    public EventLoop(
            MonotonicClock clock,
            Consumer<Throwable> failureHandler,
            Function<SocketAddress, Connection.InMemoryPeer> inMemoryPeers) {
        this.clock = clock;
        this.failureHandler = failureHandler;
        this.inMemoryPeers = inMemoryPeers;
        group = null;
    }

    /** Who is at the address, if it is someone in this process. */
    Connection.InMemoryPeer inMemoryPeer(SocketAddress address) {
        return inMemoryPeers.apply(address);
    }

    public AsynchronousChannelGroup group() {
        return group;
    }

    public MonotonicClock clock() {
        return clock;
    }

    /** Runs after each batch, before anything is written. */
    public void setAfterBatch(Runnable hook) {
        afterBatch = hook;
    }

    public Timer schedule(Duration delay, Runnable task) {
        Timer timer = new Timer(clock.nanoTime() + delay.toNanos(), timersScheduled++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the task now and then again and again, each time so long after the last run began. */
    public void runNowAndEvery(Duration period, Runnable task) {
        schedule(period, () -> runNowAndEvery(period, task));
        task.run();
    }

    @Override
    public void execute(Runnable task) {
        readyTasks.add(task);
        Thread thread = loopThread;
        if (thread != null && thread != Thread.currentThread()) {
            LockSupport.unpark(thread);
        }
    }

    void scheduleFlush(Connection connection) {
        pendingFlushes.add(connection);
    }

    /** Runs on the calling thread until {@link #stop}. */
    public void run() {
        loopThread = Thread.currentThread();
        while (!stopping && !loopThread.isInterrupted()) {
            Runnable first = readyTasks.poll();
            if (first == null) {
                // What is added after this look wakes it, or lets it not sleep at all.
                LockSupport.parkNanos(this, nanosUntilNextTimer());
                first = readyTasks.poll();
            }
            runBatch(first);
        }
    }

    /** Ends it with the batch that runs now, or at once where it waits for one. */
    public void stop() {
        stopping = true;
        execute(() -> {});
    }

    private long nanosUntilNextTimer() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueNanos - clock.nanoTime();
    }

    private void runBatch(Runnable first) {
        int completed = 0;
        for (Runnable task = first; task != null; task = ++completed < MAX_BATCH_TASKS ? readyTasks.poll() : null) {
            runGuarded(task);
        }
        // Only those due now: a task that sets the next timer in the past does not keep the loop here.
        long now = clock.nanoTime();
        List<Timer> due = new ArrayList<>(0);
        while (!timers.isEmpty() && timers.peek().dueNanos - now <= 0) {
            due.add(timers.poll());
        }
        for (Timer timer : due) {
            if (timer.task != null) {
                runGuarded(timer.task);
            }
        }
        do {
            runGuarded(afterBatch);
            List<Connection> flushing = pendingFlushes;
            pendingFlushes = new ArrayList<>();
            flushing.forEach(connection -> runGuarded(connection::flush));
        } while (!pendingFlushes.isEmpty());
    }

    /** Runs a part whose failure is told and ends nothing else; says whether it went well. */
    boolean runGuarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            failureHandler.accept(e);
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
