package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import merlinlever.net.ProcessSignals;
import net.jqwik.api.Example;

/** Signals that come before, while and after somebody receives them, without a process. */
class SignalsTest {

    private final ProcessSignals signals = new ProcessSignals();
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private final CountDownLatch told = new CountDownLatch(1);
    private final ProcessSignals.Subscriber receiver = new ProcessSignals.Subscriber() {
        @Override
        public void hangUp() {
            heard.add("hang up");
        }

        @Override
        public void terminate() {
            heard.add("terminate");
            told.countDown();
        }
    };

    private static final long PATIENCE_MS = 10_000;

    private static Thread begun(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void over(Thread thread) throws InterruptedException {
        thread.join(PATIENCE_MS);
        assertFalse(thread.isAlive(), "it waits for nobody");
    }

    /** Against a SIGHUP that is lost where it comes while the start still reads and rehearses; twice is as good as once. */
    @Example
    void aHangUpBeforeThereIsAReceiverIsPassedOnOnce() {
        signals.hangUp();
        signals.hangUp();
        assertTrue(signals.receive(receiver));
        assertEquals(List.of("hang up"), heard);
        signals.hangUp();
        signals.hangUp();
        assertEquals(List.of("hang up", "hang up", "hang up"), heard);
    }

    /** Against a shutdown hook that waits for a loop that never runs, and against listening after it. */
    @Example
    void aTerminationBeforeThereIsAReceiverWaitsForNobodyAndNothingIsBegun() throws InterruptedException {
        signals.hangUp();
        over(begun(signals::terminate));
        assertFalse(signals.receive(receiver));
        assertEquals(List.of(), heard);
    }

    /** Against a hook that waits where the start has failed by itself: the exit with status 1 runs it too. */
    @Example
    void aTerminationAfterTheEndWaitsForNobody() throws InterruptedException {
        assertTrue(signals.receive(receiver));
        signals.over();
        over(begun(signals::terminate));
        assertEquals(List.of(), heard, "nobody is there to be told");
    }

    /** Against an end before all is answered, and against a SIGHUP that is held up by the wait of the termination. */
    @Example
    void aTerminationWaitsUntilTheReceiverIsDoneAndHoldsUpNoHangUp() throws InterruptedException {
        assertTrue(signals.receive(receiver));
        Thread first = begun(signals::terminate);
        assertTrue(told.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
        Thread second = begun(signals::terminate);
        // It gets in between only while the termination waits: so nobody has returned yet.
        over(begun(signals::hangUp));
        assertTrue(first.isAlive());
        assertTrue(heard.contains("hang up"));
        signals.over();
        over(first);
        over(second);
        assertEquals("terminate", heard.get(0));
    }
}
