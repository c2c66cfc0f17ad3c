package merlinlever.common.net;

import java.time.Duration;

/** The program that {@link TaskHandOffTest} debugs: a loop with a periodic timer, and a thread that submits tasks. */
final class TaskHandOffProgram {

    static volatile int ticks;
    private static volatile int tasksRun;

    private TaskHandOffProgram() {}

    // Only the loop's thread increments the counters; the test reads them through the debugger.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    public static void main(String[] args) throws Exception {
        EventLoop loop = new EventLoop(MonotonicClock.system(), failure -> {});
        loop.runNowAndEvery(Duration.ofMillis(1), () -> ticks++);
        Thread thread = new Thread(loop::run, "loop");
        thread.setDaemon(true);
        thread.start();
        for (int i = 1; i <= 200; i++) {
            Thread.sleep(3);
            handOff(loop);
        }
    }

    // Only the loop's thread increments the counter.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private static void handOff(EventLoop loop) {
        loop.execute(() -> tasksRun++);
    }
}
