package merlinlever.common.net;

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
 * Runs all completion handlers, timers and tasks on one thread. Ready tasks form a batch. After each batch the loop
 * runs the hook set by {@link #setAfterBatch} and then flushes each connection with queued bytes once. Only {@link
 * #execute} and {@link #stop} may be called on other threads.
 */
public final class EventLoop extends AbstractExecutorService {

    private static final int MAX_BATCH_TASKS = 256;

    /** A scheduled task, which can be cancelled. */
    public static final class Timer {
        private final long dueNanos;
        private final long sequence;
        private Runnable task;

        private Timer(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task; no effect after the task has run. */
        public void cancel() {
            task = null;
        }
    }

    private final MonotonicClock clock;
    private final Consumer<Throwable> failureHandler;
    /**
     * A lock-free queue: the loop never waits for a thread that is suspended inside {@link #execute}. With a condition
     * variable, a timed wait would spin while the signalling thread is suspended in the middle of its signal.
     */
    private final Queue<Runnable> readyTasks = new ConcurrentLinkedQueue<>();
    /** The thread that runs the loop; null before {@link #run}. */
    private volatile Thread loopThread;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            Comparator.<Timer>comparingLong(timer -> timer.dueNanos).thenComparingLong(timer -> timer.sequence));
    private final AsynchronousChannelGroup group;
    private final Function<SocketAddress, Connection.InMemoryPeer> inMemoryPeers;
    private List<Connection> pendingFlushes = new ArrayList<>();
    private Runnable afterBatch = () -> {};
    private long timersScheduled;
    private volatile boolean stopping;

    /**
     * Creates a loop with a channel group for sockets; {@link #run} runs the loop.
     *
     * @param failureHandler receives exceptions thrown by tasks and handlers; the loop continues
     * @throws IOException if the channel group cannot be opened
     */
    public EventLoop(MonotonicClock clock, Consumer<Throwable> failureHandler) throws IOException {
        this.clock = clock;
        this.failureHandler = failureHandler;
        group = AsynchronousChannelGroup.withThreadPool(this);
        inMemoryPeers = address -> null;
    }

    /**
     * Creates a loop without sockets, for tests and warm-up.
     *
     * @param inMemoryPeers returns the peer to connect to at an address
     */
    public EventLoop(
            MonotonicClock clock,
            Consumer<Throwable> failureHandler,
            Function<SocketAddress, Connection.InMemoryPeer> inMemoryPeers) {
        this.clock = clock;
        this.failureHandler = failureHandler;
        this.inMemoryPeers = inMemoryPeers;
        group = null;
    }

    /** Returns the in-memory peer at the address, or null if the address has to be reached over a socket. */
    Connection.InMemoryPeer inMemoryPeer(SocketAddress address) {
        return inMemoryPeers.apply(address);
    }

    /** Returns the group for channels whose completion handlers run on this loop; null for a loop without sockets. */
    public AsynchronousChannelGroup group() {
        return group;
    }

    /** Returns the clock of the timers. */
    public MonotonicClock clock() {
        return clock;
    }

    /** Sets the task that runs after each batch, before the connections are flushed. */
    public void setAfterBatch(Runnable hook) {
        afterBatch = hook;
    }

    /** Runs the task once, after the delay. */
    public Timer schedule(Duration delay, Runnable task) {
        Timer timer = new Timer(clock.nanoTime() + delay.toNanos(), timersScheduled++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the task now and then periodically; each period is measured from the start of the previous run. */
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

    /** Runs the loop on the calling thread until {@link #stop} is called or the thread is interrupted. */
    public void run() {
        loopThread = Thread.currentThread();
        while (!stopping && !loopThread.isInterrupted()) {
            Runnable first = readyTasks.poll();
            if (first == null) {
                // A task added after the poll unparks the thread, or makes the park return at once.
                LockSupport.parkNanos(this, nanosUntilNextTimer());
                first = readyTasks.poll();
            }
            runBatch(first);
        }
    }

    /** Makes {@link #run} return after the current batch; may be called on any thread. */
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
        // A timer that is scheduled by a due timer runs in a later batch, even with a negative delay, so that it cannot
        // starve the tasks.
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

    /** Runs the task and passes its exception to the failure handler; returns whether the task completed normally. */
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
