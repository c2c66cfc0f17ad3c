package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinlever.common.json.Json;
import org.junit.jupiter.api.AfterEach;

/** Runs {@code serve} in its own process, with stub peers on the loopback interface. */
abstract class ServeProcessFixture {

    static final int TIMEOUT_MS = 20_000;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    ServerSocket agentListener = new ServerSocket(0, 50, LOOPBACK);
    ServerSocket recordsListener = new ServerSocket(0, 50, LOOPBACK);
    DatagramSocket directorySocket = new DatagramSocket(0, LOOPBACK);
    final Path configFile = Files.createTempFile("merlinlever", ".json");
    Process program;
    Socket agentLink;
    Socket recordsConnection;
    BufferedReader commandReader;
    int port;
    long nextRequestId = 0x9b1f03aa5c7e2d41L;

    ServeProcessFixture() throws IOException {
        setTimeouts();
    }

    void setTimeouts() throws IOException {
        agentListener.setSoTimeout(TIMEOUT_MS);
        recordsListener.setSoTimeout(TIMEOUT_MS);
        directorySocket.setSoTimeout(TIMEOUT_MS);
    }

    /** A response as an edge node receives it. */
    record HttpResponse(int status, String head, byte[] body) {}

    Process start(String configuration) throws IOException {
        Files.writeString(configFile, configuration);
        return startWithExistingFile();
    }

    /** Starts the program with the current content of the configuration file. */
    Process startWithExistingFile() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                "target/classes",
                "merlinlever.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", configFile.toString());
        Process started = builder.start();
        // Ends the process eventually, so that a failing test does not block on its output.
        CompletableFuture.delayedExecutor(60, TimeUnit.SECONDS).execute(started::destroyForcibly);
        program = started;
        return program;
    }

    String configuration() {
        return "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"agent\":\"127.0.0.1:" + agentListener.getLocalPort()
                + "\",\"lookup\":\"127.0.0.1:" + directorySocket.getLocalPort() + "\",\"records\":\"127.0.0.1:"
                + recordsListener.getLocalPort()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":8000,\"limits\":{\"sockets\":40},"
                + "\"settings\":{\"family-info\":{\"n-cores\":4,\"memory-kb\":90000,\"gauges\":[\"runnable\"],"
                + "\"halt\":\"drop\",\"calls-by-class\":[true,true],\"kb-per-key\":10},\"invariants\":{"
                + "\"drain-grace\":100,\"overload-factor\":8},\"services\":[{\"name\":\"look\",\"semantics\":\"repeatable\","
                + "\"aim\":20000,\"hard-limit\":40000},{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":20000,"
                + "\"hard-limit\":40000,\"window\":60000}]}}";
    }

    void startAndLinkAgent() throws IOException {
        start(configuration());
        String line = program.inputReader().readLine();
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        // The warm-up finishes before the first request.
        assertTrue(
                program.inputReader().readLine().matches(".*warm-up-finished requests=[1-9][0-9]* duration_ms=[0-9]+"));
        acceptAgentLink(0);
    }

    void sendGreeting() throws IOException {
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000.5}");
        // Answers the first sample command, which the backend sends once it has started.
        Map<?, ?> sample = awaitCommand("sample");
        sendToBackend("{\"cmd\":\"sampled\",\"token\":\"" + sample.get("token") + "\",\"load\":[0]}");
    }

    void acceptAgentLink(long offset) throws IOException {
        agentLink = agentListener.accept();
        agentLink.setSoTimeout(TIMEOUT_MS);
        commandReader =
                new BufferedReader(new java.io.InputStreamReader(agentLink.getInputStream(), StandardCharsets.UTF_8));
        assertEquals(offset, awaitCommand("subscribe").get("offset"));
    }

    @AfterEach
    void endProgram() throws IOException, InterruptedException {
        program.destroyForcibly().waitFor();
        agentListener.close();
        recordsListener.close();
        directorySocket.close();
        Files.delete(configFile);
    }

    /**
     * Returns the next command with the given name. Answers sample commands before it to keep the backend's gauges
     * current.
     */
    Map<?, ?> awaitCommand(String name) throws IOException {
        while (true) {
            Map<?, ?> command;
            try {
                command = Json.parseObject(commandReader.readLine());
            } catch (Json.MalformedJsonException e) {
                throw new IOException(e);
            }
            if (command.get("cmd").equals(name)) {
                return command;
            }
            assertEquals("sample", command.get("cmd"), "" + command);
            sendToBackend("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token") + "\",\"load\":[0]}");
        }
    }

    void sendToBackend(String line) throws IOException {
        agentLink.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    void sendOutcome(long offset, Map<?, ?> launch, String result, byte[] payload) throws IOException {
        sendToBackend(
                "{\"cmd\":\"outcome\",\"offset\":" + offset + ",\"req\":\"" + launch.get("req") + "\",\"result\":\""
                        + result + "\",\"elapsed_ms\":3.5,\"payload\":\""
                        + Base64.getEncoder().encodeToString(payload) + "\"}");
    }

    String httpRequest(String priorityClass, String extraHeaders, String body) {
        return "POST /svc/" + priorityClass + " HTTP/1.1\r\nHost: api\r\nReq-Id: "
                + String.format("%016x", nextRequestId++)
                + "\r\nReq-Time: " + System.currentTimeMillis()
                + "\r\nReq-From: 4\r\nReq-Wait-Ms: 30000\r\nReq-Kb: 24.5\r\n"
                + "Req-Rank: 0.6250\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Socket send(String message) throws IOException {
        Socket socket = new Socket(LOOPBACK, port);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return send(socket, message);
    }

    static Socket send(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    static HttpResponse readResponse(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            assertTrue(next >= 0, "the response ends within its head: " + head);
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int lengthStart = text.indexOf("Content-Length: ") + 16;
        int length = Integer.parseInt(text.substring(lengthStart, text.indexOf('\r', lengthStart)));
        return new HttpResponse(Integer.parseInt(text.substring(9, 12)), text, in.readNBytes(length));
    }

    String readRecordsLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            line.append((char) recordsConnection.getInputStream().read());
        }
        return line.substring(0, line.length() - 2);
    }
}
