package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import merlinlever.common.net.ProcessSignals;
import org.junit.jupiter.api.Test;

/** Signals that come before, while and after somebody receives them, without a process. */
class SignalsTest {

    private final ProcessSignals signals = new ProcessSignals();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final CountDownLatch terminateReceived = new CountDownLatch(1);
    private final ProcessSignals.Subscriber subscriber = new ProcessSignals.Subscriber() {
        @Override
        public void onHangup() {
            received.add("hang up");
        }

        @Override
        public void onTerminate() {
            received.add("terminate");
            terminateReceived.countDown();
        }
    };

    private static final long TIMEOUT_MS = 10_000;

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void assertEnds(Thread thread) throws InterruptedException {
        thread.join(TIMEOUT_MS);
        assertFalse(thread.isAlive(), "it waits for nobody");
    }

    /** Against a SIGHUP that is lost where it comes while the start still reads and rehearses; twice is as good as once. */
    @Test
    void hangUpBeforeThereIsASubscriberIsPassedOnOnce() {
        signals.hangup();
        signals.hangup();
        assertTrue(signals.subscribe(subscriber));
        assertEquals(List.of("hang up"), received);
        signals.hangup();
        signals.hangup();
        assertEquals(List.of("hang up", "hang up", "hang up"), received);
    }

    /** Against a shutdown hook that waits for a loop that never runs, and against listening after it. */
    @Test
    void terminationBeforeThereIsASubscriberWaitsForNobody() throws InterruptedException {
        signals.hangup();
        assertEnds(startThread(signals::terminate));
        assertFalse(signals.subscribe(subscriber));
        assertEquals(List.of(), received);
    }

    /** Against a hook that waits where the start has failed by itself: the exit with status 1 runs it too. */
    @Test
    void terminationAfterTheEndWaitsForNobody() throws InterruptedException {
        assertTrue(signals.subscribe(subscriber));
        signals.completeShutdown();
        assertEnds(startThread(signals::terminate));
        assertEquals(List.of(), received, "nobody is there to be told");
    }

    /** Against an end before all is answered, and against a SIGHUP that is held up by the wait of the termination. */
    @Test
    void terminationWaitsForTheSubscriberAndDelaysNoHangUp() throws InterruptedException {
        assertTrue(signals.subscribe(subscriber));
        Thread first = startThread(signals::terminate);
        assertTrue(terminateReceived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        Thread second = startThread(signals::terminate);
        // It gets in between only while the termination waits: so nobody has returned yet.
        assertEnds(startThread(signals::hangup));
        assertTrue(first.isAlive());
        assertTrue(received.contains("hang up"));
        signals.completeShutdown();
        assertEnds(first);
        assertEnds(second);
        assertEquals("terminate", received.get(0));
    }
}
