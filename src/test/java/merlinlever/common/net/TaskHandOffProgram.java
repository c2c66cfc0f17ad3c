package merlinlever.common.net;

import java.time.Duration;

/** The program that {@link TaskHandOffTest} debugs: a loop with a periodic timer, and a thread that hands it tasks. */
final class TaskHandOffProgram {

    static volatile int ticks;
    private static volatile int tasksRun;

    private TaskHandOffProgram() {}

    // The loop alone counts; the test reads the fields as plain numbers through the debugger.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    public static void main(String[] none) throws Exception {
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

    // As above: the loop alone counts.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private static void handOff(EventLoop loop) {
        loop.execute(() -> tasksRun++);
    }
}
