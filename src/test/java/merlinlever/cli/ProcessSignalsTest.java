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

/** Signals before, during and after a subscription. */
class ProcessSignalsTest {

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
        assertFalse(thread.isAlive(), "the call returns without waiting");
    }

    /**
     * Guards against a SIGHUP that is lost during the start; several of them before the subscription cause one reload.
     */
    @Test
    void hangupsBeforeSubscriptionAreDeliveredOnce() {
        signals.hangup();
        signals.hangup();
        assertTrue(signals.subscribe(subscriber));
        assertEquals(List.of("hang up"), received);
        signals.hangup();
        signals.hangup();
        assertEquals(List.of("hang up", "hang up", "hang up"), received);
    }

    /**
     * Guards against a shutdown hook that waits for a loop that never runs, and against listening after the
     * termination.
     */
    @Test
    void terminationBeforeSubscriptionReturnsAtOnce() throws InterruptedException {
        signals.hangup();
        assertEnds(startThread(signals::terminate));
        assertFalse(signals.subscribe(subscriber));
        assertEquals(List.of(), received);
    }

    /** Guards against a shutdown hook that waits after a failed start, whose exit with status 1 runs the hook too. */
    @Test
    void terminationAfterShutdownReturnsAtOnce() throws InterruptedException {
        assertTrue(signals.subscribe(subscriber));
        signals.completeShutdown();
        assertEnds(startThread(signals::terminate));
        assertEquals(List.of(), received, "the subscriber is not called after the shutdown");
    }

    /**
     * Guards against an exit before all requests are answered, and against a SIGHUP blocked by a waiting termination.
     */
    @Test
    void terminationWaitsForShutdownAndDoesNotBlockHangup() throws InterruptedException {
        assertTrue(signals.subscribe(subscriber));
        Thread firstTermination = startThread(signals::terminate);
        assertTrue(terminateReceived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        Thread secondTermination = startThread(signals::terminate);
        // The hangup acquires the monitor only while the termination waits, so the termination has not returned yet.
        assertEnds(startThread(signals::hangup));
        assertTrue(firstTermination.isAlive());
        assertTrue(received.contains("hang up"));
        signals.completeShutdown();
        assertEnds(firstTermination);
        assertEnds(secondTermination);
        assertEquals("terminate", received.get(0));
    }
}
