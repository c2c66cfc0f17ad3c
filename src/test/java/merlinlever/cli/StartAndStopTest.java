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
 * Signals that arrive during the start, the greeting of the agent, a reload, another signal or the shutdown. To
 * synchronize with a read of the configuration, the file is a named pipe: opening it for writing blocks until the
 * program reads it.
 */
class StartAndStopTest extends ServeProcessFixture {

    private static final String TOKEN_HEADER = "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";

    StartAndStopTest() throws IOException {}

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + program.pid())
                        .start()
                        .waitFor());
    }

    /**
     * Sends a signal and returns once its handler has run: the JVM's signal dispatcher waits again and the handler's
     * thread has ended.
     */
    private void signalAndAwaitHandler(String name) throws IOException, InterruptedException {
        String countBefore = dispatcherSwitchCount();
        signal(name);
        String count = dispatcherSwitchCount();
        while (count == null || count.equals(countBefore)) {
            assertTrue(program.isAlive());
            count = dispatcherSwitchCount();
        }
    }

    /** Returns the count of voluntary context switches of the JVM's signal dispatcher, or null while a handler runs. */
    private String dispatcherSwitchCount() throws IOException {
        String switchCount = null;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + program.pid() + "/task"))) {
            for (Path thread : threads) {
                String status = Files.readString(thread.resolve("status"));
                if (status.startsWith("Name:\tSIG") || (switchCount != null && status.startsWith("Name:\tSignal"))) {
                    return null;
                }
                if (status.startsWith("Name:\tSignal")) {
                    switchCount = status.substring(status.indexOf("\nvoluntary"), status.indexOf("\nnonvoluntary"));
                }
            }
        } catch (NoSuchFileException | DirectoryIteratorException e) {
            // A thread ended meanwhile.
            return null;
        }
        return switchCount;
    }

    /** Replaces the configuration file by a new pipe; a reader of the previous pipe keeps reading that one. */
    private void replaceFileByPipe() throws IOException, InterruptedException {
        Path pipe = Path.of(configFile + ".pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Files.move(pipe, configFile, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the writing end of the pipe once the program reads the pipe; fails if the program does not. */
    private OutputStream openPipe() throws IOException, InterruptedException {
        Path pipe = configFile;
        try {
            return CompletableFuture.supplyAsync(() -> {
                        try {
                            return Files.newOutputStream(pipe);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    })
                    .get(10, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("the program does not read its configuration", e);
        }
    }

    /** Serves one read of the configuration, and prepares a new pipe for the next read. */
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
        assertTrue(line != null, "no log line contains " + part);
        return line;
    }

    private void assertExit(int status) throws InterruptedException {
        assertTrue(program.waitFor(10, TimeUnit.SECONDS), "the process does not exit");
        assertEquals(status, program.exitValue());
    }

    /** Waits until the drain has started, which makes the health check fail. */
    private Socket awaitDraining() throws IOException {
        Socket check = send("GET /status/live HTTP/1.1\r\n\r\n");
        while (readResponse(check).status() != 503) {
            send(check, "GET /status/live HTTP/1.1\r\n\r\n");
        }
        return check;
    }

    private void moveAgentListener() throws IOException {
        agentListener.close();
        agentListener = new ServerSocket(0, 50, LOOPBACK);
        setTimeouts();
    }

    /** Guards against a SIGHUP that terminates the process during the start, or that is lost. */
    @Test
    void sighupDuringStartReloadsAfterIt() throws IOException, InterruptedException {
        String oldConfiguration = configuration();
        replaceFileByPipe();
        startWithExistingFile();
        try (OutputStream out = openPipe()) {
            signal("HUP");
            signal("HUP");
            replaceFileByPipe();
            out.write(oldConfiguration.getBytes(StandardCharsets.UTF_8));
        }
        moveAgentListener();
        serveFileOnce(configuration());
        awaitLogLine("configuration-reloaded");
        acceptAgentLink(0);
        sendGreeting();
        assertTrue(program.isAlive());
    }

    /** Guards against a shutdown hook that waits for an event loop that does not run yet. */
    @Test
    void sigtermDuringStartExitsAtOnce() throws IOException, InterruptedException {
        replaceFileByPipe();
        startWithExistingFile();
        OutputStream out = openPipe();
        signal("TERM");
        assertExit(143);
        out.close();
    }

    /** A failed start also runs the shutdown hook, which must not wait for an event loop that never ran. */
    @Test
    void failedStartReportsTheFileAndReasonInOneLine() throws IOException, InterruptedException {
        String good = configuration();
        String[][] invalidConfigurations = {
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
        for (String[] textAndReason : invalidConfigurations) {
            start(textAndReason[0]);
            assertExit(1);
            String errorOutput = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(
                    errorOutput.startsWith("merlinlever: " + configFile + ": ")
                            && errorOutput.contains(textAndReason[1]),
                    errorOutput);
            assertEquals(errorOutput.length() - 1, errorOutput.indexOf('\n'), errorOutput);
        }
    }

    /** Guards against a request that is left unanswered if SIGTERM precedes the agent's greeting. */
    @Test
    void sigtermBeforeGreetingRejectsAllRequestsAndEnds() throws IOException, InterruptedException {
        startAndLinkAgent();
        Socket idle = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(503, readResponse(idle).status());
        signal("TERM");
        Socket edge = send(httpRequest("look", "", ""));
        HttpResponse response = readResponse(edge);
        // After the grace period, responses contain the header Connection: close.
        while (!response.head().contains("Connection: close")) {
            assertEquals(503, response.status());
            response = readResponse(send(edge, httpRequest("look", "", "")));
        }
        assertEquals(503, response.status());
        edge.close();
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000.5}");
        assertEquals(
                503,
                readResponse(send(idle, httpRequest("buy", TOKEN_HEADER, "a"))).status());
        idle.close();
        // The backend sent no command to the agent.
        assertEquals(null, commandReader.readLine());
        assertExit(143);
    }

    /**
     * Guards against a second SIGTERM that restarts the drain, and against a SIGHUP that is ignored during the drain.
     */
    @Test
    void secondSigtermIsIgnoredAndLaterSighupMovesTheAgentLink() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN_HEADER, "a"));
        Map<?, ?> launch = awaitCommand("launch");
        signal("TERM");
        Socket check = awaitDraining();
        signal("TERM");
        moveAgentListener();
        Files.writeString(configFile, configuration());
        signal("HUP");
        Socket oldLink = agentLink;
        acceptAgentLink(0);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
        oldLink.close();
        edge.close();
        check.close();
        assertExit(143);
    }

    /** Guards against one log line per failed attempt, and against retries that continue after the next signal. */
    @Test
    void invalidFileIsLoggedOnceAndConfigurationIsKept() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        replaceFileByPipe();
        signal("HUP");
        String bad = configuration().replace("\"n-cores\":4", "\"n-cores\":0");
        for (int i = 0; i < 5; i++) {
            serveFileOnce(bad);
        }
        // All attempts of the first signal have failed. After the second signal the file is valid on the second
        // attempt.
        signal("HUP");
        serveFileOnce("{");
        serveFileOnce(configuration());
        List<String> lines = new ArrayList<>();
        String line = program.inputReader().readLine();
        while (!line.contains("configuration-reloaded")) {
            lines.add(line);
            line = program.inputReader().readLine();
        }
        lines.removeIf(entry -> !entry.contains("configuration-reload-rejected"));
        assertEquals(2, lines.size(), "" + lines);
        assertTrue(
                lines.get(0)
                        .contains(configFile + ": settings: family-info.n-cores is \"0\"; allowed: a number above 0"),
                lines.get(0));
        assertTrue(lines.get(1).contains("is not a JSON object"), lines.get(1));
        // The previous configuration is still in force, so the agent link is unchanged.
        Socket edge = send(httpRequest("look", "", ""));
        sendOutcome(1, awaitCommand("launch"), "OK", new byte[] {7});
        assertEquals(200, readResponse(edge).status());
    }

    /** Guards against two concurrent series of attempts: a signal cancels the pending retries of an earlier one. */
    @Test
    void secondSighupReplacesPendingRetries() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        replaceFileByPipe();
        signal("HUP");
        // The second signal arrives during this read, so its attempt is the next one.
        try (OutputStream out = openPipe()) {
            signalAndAwaitHandler("HUP");
            replaceFileByPipe();
            out.write('{');
        }
        serveFileOnce(configuration());
        awaitLogLine("configuration-reloaded");
        // A further read would block the program at the pipe. Instead, the check gets its response after its timeout of
        // one second.
        Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        awaitCommand("exercise");
        assertEquals(503, readResponse(check).status());
    }

    /** Guards against a drain that waits for a valid file, and against a retry that continues after the drain. */
    @Test
    void sigtermWithIncompleteConfigurationDrainsAsUsual() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN_HEADER, "a"));
        Map<?, ?> launch = awaitCommand("launch");
        Files.writeString(configFile, configuration().substring(0, 100));
        signal("HUP");
        awaitLogLine("configuration-reload-rejected");
        signal("TERM");
        awaitDraining().close();
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
        edge.close();
        assertExit(143);
    }

    /**
     * Guards against unanswered requests if the stop time precedes the end of the grace period or leaves no time for
     * the last writes.
     */
    @Test
    void stopTimeWithinGraceAnswersAllRequestsAndExits() throws IOException, InterruptedException {
        start(configuration()
                .replace("\"stop_ms\":8000", "\"stop_ms\":100")
                .replace("\"drain-grace\":100", "\"drain-grace\":60000"));
        String line = awaitLogLine("listening address=");
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket edge = send(httpRequest("buy", TOKEN_HEADER, "a"));
        awaitCommand("launch");
        signal("TERM");
        assertEquals(500, readResponse(edge).status());
        assertExit(143);
    }

    /** An idle connection is closed without a reset, and new connections are refused after the exit. */
    @Test
    void idleConnectionSeesOrderlyCloseWithinTheStop() throws IOException, InterruptedException {
        start(configuration().replace("\"stop_ms\":8000", "\"stop_ms\":1200"));
        String line = awaitLogLine("listening address=");
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        acceptAgentLink(0);
        sendGreeting();
        Socket idle = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readResponse(idle).status());
        signal("TERM");
        assertEquals(-1, idle.getInputStream().read());
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
