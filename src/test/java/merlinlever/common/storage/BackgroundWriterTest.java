package merlinlever.common.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

class BackgroundWriterTest {

    /** A directory whose writes block until the test releases them, and then fail as the test requests. */
    private static final class BlockingDirectory implements StateDirectory {
        final CountDownLatch writesReleased = new CountDownLatch(1);
        volatile Optional<IOException> failure = Optional.empty();
        volatile Optional<RuntimeException> runtimeFailure = Optional.empty();
        volatile byte[] written = new byte[0];

        @Override
        public void replace(String name, byte[] bytes) throws IOException {
            try {
                writesReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            if (failure.isPresent()) {
                throw failure.get();
            }
            runtimeFailure.ifPresent(exception -> {
                throw exception;
            });
            written = bytes;
        }

        @Override
        public List<String> fileNames() {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] read(String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public AppendableFile openForAppend(String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void rename(String from, String to) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void delete(String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void sync() {
            throw new UnsupportedOperationException();
        }
    }

    private final BlockingDirectory directory = new BlockingDirectory();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final BackgroundWriter writer = new BackgroundWriter(directory, loop::add, "test-writer");
    private final List<Optional<IOException>> completions = new ArrayList<>();

    private boolean replace(String content) {
        return writer.replace("file", content.getBytes(StandardCharsets.US_ASCII), completions::add);
    }

    @Test
    void onlyOneWriteRunsAtATimeAndItsCompletionRunsOnTheLoop() throws InterruptedException {
        assertTrue(replace("x"));
        assertTrue(writer.isBusy());
        assertFalse(replace("y"), "a write is in progress");
        directory.writesReleased.countDown();
        Runnable completion = loop.take();
        assertTrue(writer.isBusy() && completions.isEmpty(), "the loop has not run the completion");
        completion.run();
        assertEquals(List.of(Optional.empty()), completions);
        assertFalse(writer.isBusy());
        assertArrayEquals(new byte[] {'x'}, directory.written);
        assertTrue(replace("z"));
    }

    @Test
    void failuresAreReportedAndTheNextWriteIsAccepted() throws InterruptedException {
        IOException diskFull = new IOException("disk full");
        directory.failure = Optional.of(diskFull);
        directory.writesReleased.countDown();
        assertTrue(replace("x"));
        loop.take().run();
        assertSame(diskFull, completions.get(0).orElseThrow());
        directory.failure = Optional.empty();
        directory.runtimeFailure = Optional.of(new IllegalStateException("thrown by the test"));
        assertTrue(replace("y"));
        loop.take().run();
        assertSame(
                directory.runtimeFailure.get(), completions.get(1).orElseThrow().getCause());
        directory.runtimeFailure = Optional.empty();
        assertTrue(replace("z"));
        loop.take().run();
        assertTrue(completions.get(2).isEmpty());
    }

    @Test
    void closeWaitsForTheWriteInProgressAndRejectsFurtherWrites() throws InterruptedException {
        assertTrue(replace("x"));
        assertFalse(writer.close(Duration.ofMillis(50)), "the write is still blocked");
        assertFalse(replace("y"));
        directory.writesReleased.countDown();
        assertTrue(writer.close(Duration.ofSeconds(30)));
        loop.take().run();
        assertFalse(replace("y"));
        assertArrayEquals(new byte[] {'x'}, directory.written);
    }
}
