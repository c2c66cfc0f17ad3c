package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/**
 * Signals that cross the start, each other, the greeting, a configuration that is being written, and the stop. Where a
 * reading of the configuration is the barrier, the file is a pipe: it can be opened for writing once it is being read.
 */
class StartAndStopTest extends ServeProcessFixture {

    private static final String TOKEN = "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";

    StartAndStopTest() throws IOException {}

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + program.pid())
                        .start()
                        .waitFor());
    }

    /** Sends it, and returns once the runtime has run its handler: its dispatcher waits again, and the handler's thread is over. */
    private void signalAndAwaitHandler(String name) throws IOException, InterruptedException {
        String before = signalDispatcherWaits();
        signal(name);
        String now = signalDispatcherWaits();
        while (now == null || now.equals(before)) {
            assertTrue(program.isAlive());
            now = signalDispatcherWaits();
        }
    }

    /** How often the runtime's dispatcher of signals has waited, or null while a handler runs. */
    private String signalDispatcherWaits() throws IOException {
        String waits = null;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + program.pid() + "/task"))) {
            for (Path thread : threads) {
                String status = Files.readString(thread.resolve("status"));
                if (status.startsWith("Name:\tSIG") || (waits != null && status.startsWith("Name:\tSignal"))) {
                    return null;
                }
                if (status.startsWith("Name:\tSignal")) {
                    waits = status.substring(status.indexOf("\nvoluntary"), status.indexOf("\nnonvoluntary"));
                }
            }
        } catch (NoSuchFileException | DirectoryIteratorException e) {
            // A thread ended meanwhile.
            return null;
        }
        return waits;
    }

    /** A new pipe in the file's place; who reads the one before goes on reading that. */
    private void replaceFileByPipe() throws IOException, InterruptedException {
        Path made = Path.of(configFile + ".pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", made.toString()).start().waitFor());
        Files.move(made, configFile, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The writing side of the pipe, once the program reads it; it fails where the program doesn't come. */
    private OutputStream openPipe() throws IOException, InterruptedException {
        Path here = configFile;
        try {
            return CompletableFuture.supplyAsync(() -> {
                        try {
                            return Files.newOutputStream(here);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    })
                    .get(10, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("it does not read its configuration", e);
        }
    }

    /** Lets the program read this once, and meets its next reading at a new pipe. */
    private void serveFileOnce(String text) throws IOException, InterruptedException {
        try (OutputStream out = openPipe()) {
            replaceFileByPipe();
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    private String awaitLogLine(String part) throws IOException {
        String line = program.inputReader().readLine();
        while (line != null && !line.contains(part)) {
            line = program.inputReader().readLine();
        }
        assertTrue(line != null, "it never said " + part);
        return line;
    }

    private void assertExit(int status) throws InterruptedException {
        assertTrue(program.waitFor(10, TimeUnit.SECONDS), "it does not end");
        assertEquals(status, program.exitValue());
    }

    /** The notice to leave has been heard: health is bad from it on. */
    private Socket awaitDraining() throws IOException {
        Socket check = send("GET /status/live HTTP/1.1\r\n\r\n");
        while (readAnswer(check).status() != 503) {
            send(check, "GET /status/live HTTP/1.1\r\n\r\n");
        }
        return check;
    }

    private void moveAgent() throws IOException {
        agentListener.close();
        agentListener = new ServerSocket(0, 50, LOOPBACK);
        setTimeouts();
    }

    /** Against a SIGHUP that ends the start, or is lost in it: what is read before it may be out of date. */
    @Test
    void sighupDuringStartIsCarriedOutAfterIt() throws IOException, InterruptedException {
        String old = configuration();
        replaceFileByPipe();
        startWithFileAsItIs();
        try (OutputStream out = openPipe()) {
            signal("HUP");
            signal("HUP");
            replaceFileByPipe();
            out.write(old.getBytes(StandardCharsets.UTF_8));
        }
        moveAgent();
        serveFileOnce(configuration());
        awaitLogLine("configuration-reloaded");
        acceptAgentLink(0);
        sendGreeting();
        assertTrue(program.isAlive());
    }

    /** Against a shutdown hook that waits for a loop that does not run yet. */
    @Test
    void sigtermDuringStartEndsItAtOnce() throws IOException, InterruptedException {
        replaceFileByPipe();
        startWithFileAsItIs();
        OutputStream out = openPipe();
        signal("TERM");
        assertExit(143);
        out.close();
    }

    /** A start that fails by itself runs the shutdown hook too, which must not wait: nothing here ever ran. */
    @Test
    void failedStartEndsWithOneLineThatNamesTheFile() throws IOException, InterruptedException {
        String good = configuration();
        String[][] bad = {
            {good.replace("\"stop_ms\":8000", "\"stop_ms\":-1"), "stop_ms is -1; allowed: a number from 0"},
            {
                good.replace("127.0.0.1:0", "127.0.0.1:" + agentListener.getLocalPort()),
                "cannot listen on 127.0.0.1:" + agentListener.getLocalPort()
            },
            {
                good.replace("\"drain-grace\":100", "\"drain-grace\":\"s\\noon\""),
                "invariants.drain-grace is \"s oon\"; allowed: a number"
            }
        };
        for (String[] each : bad) {
            start(each[0]);
            assertExit(1);
            String told = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(told.startsWith("merlinlever: " + configFile + ": ") && told.contains(each[1]), told);
            assertEquals(told.length() - 1, told.indexOf('\n'), told);
        }
    }

    /** Against a request that is read and not answered, run, or waited for, where the agent has not even greeted yet. */
    @Test
    void sigtermBeforeGreetingRejectsAllRequestsAndEnds() throws IOException, InterruptedException {
        startAndLinkAgent();
        Socket resting = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(503, readAnswer(resting).status());
        signal("TERM");
        Socket asking = send(httpRequest("look", "", ""));
        HttpAnswer answer = readAnswer(asking);
        // The grace is over once answers ask for the end of their connection.
        while (!answer.head().contains("Connection: close")) {
            assertEquals(503, answer.status());
            answer = readAnswer(send(asking, httpRequest("look", "", "")));
        }
        assertEquals(503, answer.status());
        asking.close();
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000.5}");
        assertEquals(
                503, readAnswer(send(resting, httpRequest("buy", TOKEN, "a"))).status());
        resting.close();
        // Nothing was sent to the agent, not even a question.
        assertEquals(null, commandReader.readLine());
        assertExit(143);
    }

    /** Against a drain that begins anew, and against a SIGHUP that is left aside while there is work on the old link. */
    @Test
    void secondSigtermChangesNothingAndSighupAfterItMovesTheLink() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN, "a"));
        Map<?, ?> launch = awaitCommand("launch");
        signal("TERM");
        Socket check = awaitDraining();
        signal("TERM");
        moveAgent();
        Files.writeString(configFile, configuration());
        signal("HUP");
        Socket before = agentLink;
        acceptAgentLink(0);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
        before.close();
        edge.close();
        check.close();
        assertExit(143);
    }

    /** Against five lines for one bad file, and against a reading too many that is still to come when the next signal has come. */
    @Test
    void invalidFileIsLoggedOnceAndTheConfigurationStays() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        replaceFileByPipe();
        signal("HUP");
        String bad = configuration().replace("\"n-cores\":4", "\"n-cores\":0");
        for (int i = 0; i < 5; i++) {
            serveFileOnce(bad);
        }
        // The readings of one signal are over; this one is not usable at first, and is read again.
        signal("HUP");
        serveFileOnce("{");
        serveFileOnce(configuration());
        List<String> lines = new ArrayList<>();
        String line = program.inputReader().readLine();
        while (!line.contains("configuration-reloaded")) {
            lines.add(line);
            line = program.inputReader().readLine();
        }
        lines.removeIf(each -> !each.contains("configuration-reload-rejected"));
        assertEquals(2, lines.size(), "" + lines);
        assertTrue(
                lines.get(0)
                        .contains(configFile + ": settings: family-info.n-cores is \"0\"; allowed: a number above 0"),
                lines.get(0));
        assertTrue(lines.get(1).contains("is not a JSON object"), lines.get(1));
        // The old one stayed: the link is the one that it named.
        Socket edge = send(httpRequest("look", "", ""));
        sendOutcome(1, awaitCommand("launch"), "OK", new byte[] {7});
        assertEquals(200, readAnswer(edge).status());
    }

    /** Against two rows of readings side by side: the later signal's takes the place of what was to come of the earlier. */
    @Test
    void secondSighupReplacesPendingRetries() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        replaceFileByPipe();
        signal("HUP");
        // While this is being read the second signal comes, so its reading is the next.
        try (OutputStream out = openPipe()) {
            signalAndAwaitHandler("HUP");
            replaceFileByPipe();
            out.write('{');
        }
        serveFileOnce(configuration());
        awaitLogLine("configuration-reloaded");
        // A reading more would hold the program at the pipe: it answers this after the second that a check may take.
        Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        awaitCommand("exercise");
        assertEquals(503, readAnswer(check).status());
    }

    /** Against a notice to leave that waits for a file, and against a reading that outlives the drain. */
    @Test
    void sigtermDuringHalfWrittenConfigurationDrainsAsUsual() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN, "a"));
        Map<?, ?> launch = awaitCommand("launch");
        Files.writeString(configFile, configuration().substring(0, 100));
        signal("HUP");
        awaitLogLine("configuration-reload-rejected");
        signal("TERM");
        awaitDraining().close();
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
        edge.close();
        assertExit(143);
    }

    /** Against a stop before the grace is over, or so soon that no time is left for last writes: all is answered still. */
    @Test
    void stopShorterThanGraceAnswersAllAndEnds() throws IOException, InterruptedException {
        start(configuration()
                .replace("\"stop_ms\":8000", "\"stop_ms\":100")
                .replace("\"drain-grace\":100", "\"drain-grace\":60000"));
        String line = awaitLogLine("listening address=");
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN, "a"));
        awaitCommand("launch");
        signal("TERM");
        assertEquals(500, readAnswer(edge).status());
        assertExit(143);
    }

    /** A client that rests until the backend ends hears its end, and no reset; nobody is let in after the grace. */
    @Test
    void idleConnectionSeesOrderlyCloseWithinTheStop() throws IOException, InterruptedException {
        start(configuration().replace("\"stop_ms\":8000", "\"stop_ms\":1200"));
        String line = awaitLogLine("listening address=");
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket resting = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readAnswer(resting).status());
        signal("TERM");
        assertEquals(-1, resting.getInputStream().read());
        assertExit(143);
        assertFalse(canConnect());
    }

    private boolean canConnect() throws IOException {
        try {
            new Socket(LOOPBACK, port).close();
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }
}
