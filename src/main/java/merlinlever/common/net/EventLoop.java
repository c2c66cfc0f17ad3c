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
 * Runs all completion handlers, timers and tasks on one thread. Tasks that are ready form a batch; after each batch the
 * hook of {@link #setAfterBatch} runs, and then each connection with queued bytes is written to once. Only
 * {@link #execute} and {@link #stop} may be called on other threads.
 */
public final class EventLoop extends AbstractExecutorService {

    private static final int MAX_BATCH_TASKS = 256;

    /** A task scheduled for a time; it can be cancelled. */
    public static final class Timer {
        private final long dueNanos;
        private final long sequence;
        private Runnable task;

        private Timer(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task; without effect after it has run. */
        public void cancel() {
            task = null;
        }
    }

    private final MonotonicClock clock;
    private final Consumer<Throwable> failureHandler;
    /**
     * Without locks or conditions: wherever a thread that hands a task over is suspended, the loop goes on. A timed
     * wait on a condition spins while the signalling thread is suspended in the middle of its signal.
     */
    private final Queue<Runnable> readyTasks = new ConcurrentLinkedQueue<>();
    /** The thread that runs the loop; null before there is one. */
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
     * Opens the channel group; the loop itself runs with {@link #run}.
     *
     * @param failureHandler receives what a task or handler throws; the loop continues
     */
    public EventLoop(MonotonicClock clock, Consumer<Throwable> failureHandler) throws IOException {
        this.clock = clock;
        this.failureHandler = failureHandler;
        group = AsynchronousChannelGroup.withThreadPool(this);
        inMemoryPeers = address -> null;
    }

    /** A loop without sockets, for tests and warm-up: connecting reaches the peer that the function gives. */
    public EventLoop(
            MonotonicClock clock,
            Consumer<Throwable> failureHandler,
            Function<SocketAddress, Connection.InMemoryPeer> inMemoryPeers) {
        this.clock = clock;
        this.failureHandler = failureHandler;
        this.inMemoryPeers = inMemoryPeers;
        group = null;
    }

    /** The peer at the address inside this process, or null where the address is a real one. */
    Connection.InMemoryPeer inMemoryPeer(SocketAddress address) {
        return inMemoryPeers.apply(address);
    }

    /** The group for channels whose handlers run on this loop; null for a loop without sockets. */
    public AsynchronousChannelGroup group() {
        return group;
    }

    /** The clock that timers run on. */
    public MonotonicClock clock() {
        return clock;
    }

    /** Sets the task that runs after each batch, before connections are written to. */
    public void setAfterBatch(Runnable hook) {
        afterBatch = hook;
    }

    /** Runs the task once, after the delay. */
    public Timer schedule(Duration delay, Runnable task) {
        Timer timer = new Timer(clock.nanoTime() + delay.toNanos(), timersScheduled++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the task now and then periodically, the period counting from the start of each run. */
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
                // A task that is added after the poll wakes the thread, or keeps it from parking.
                LockSupport.parkNanos(this, nanosUntilNextTimer());
                first = readyTasks.poll();
            }
            runBatch(first);
        }
    }

    /** Ends {@link #run} after the current batch; may be called on any thread. */
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
        // Only timers that are due now: one that schedules the next in the past does not keep the loop here.
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

    /** Runs the task and reports what it throws to the failure handler; returns whether it completed normally. */
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
