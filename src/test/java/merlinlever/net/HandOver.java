package merlinlever.net;

import java.time.Duration;

/** What {@link HandOverTest} looks into: a loop with a timer that never rests, and a thread that hands it tasks. */
final class HandOver {

    static volatile int ticks;
    private static volatile int taken;

    private HandOver() {}

    public static void main(String[] none) throws Exception {
        Loop loop = new Loop(Clock.system(), failure -> {});
        loop.every(Duration.ofMillis(1), () -> ticks++);
        Thread thread = new Thread(loop::run, "loop");
        thread.setDaemon(true);
        thread.start();
        for (int i = 1; i <= 200; i++) {
            Thread.sleep(3);
            handOver(loop);
        }
    }

    private static void handOver(Loop loop) {
        loop.execute(() -> taken++);
    }
}
