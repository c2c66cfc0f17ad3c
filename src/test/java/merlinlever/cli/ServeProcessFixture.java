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
import merlinlever.json.Json;
import net.jqwik.api.lifecycle.AfterTry;

/** The whole program as a process of its own, with small stand-ins for the parties around it, on loopback. */
abstract class ServeProcessFixture {

    static final int PATIENCE_MS = 20_000;
    static final InetAddress HERE = InetAddress.getLoopbackAddress();

    ServerSocket agents = new ServerSocket(0, 50, HERE);
    ServerSocket records = new ServerSocket(0, 50, HERE);
    DatagramSocket directory = new DatagramSocket(0, HERE);
    final Path file = Files.createTempFile("merlinlever", ".json");
    Process program;
    Socket agent, record;
    BufferedReader fromAgent;
    int port;
    long ids = 0x9b1f03aa5c7e2d41L;

    ServeProcessFixture() throws IOException {
        patience();
    }

    void patience() throws IOException {
        agents.setSoTimeout(PATIENCE_MS);
        records.setSoTimeout(PATIENCE_MS);
        directory.setSoTimeout(PATIENCE_MS);
    }

    /** What an edge node hears. */
    record HttpAnswer(int status, String head, byte[] body) {}

    Process start(String configuration) throws IOException {
        Files.writeString(file, configuration);
        return startAgain();
    }

    /** With the file as it is. */
    Process startAgain() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                "target/classes",
                "merlinlever.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        Process started = builder.start();
        // Whoever reads what it says reads to its end: a test that fails is over, too.
        CompletableFuture.delayedExecutor(60, TimeUnit.SECONDS).execute(started::destroyForcibly);
        program = started;
        return program;
    }

    String configuration() {
        return "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"agent\":\"127.0.0.1:" + agents.getLocalPort()
                + "\",\"lookup\":\"127.0.0.1:" + directory.getLocalPort() + "\",\"records\":\"127.0.0.1:"
                + records.getLocalPort()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":8000,\"limits\":{\"sockets\":40},"
                + "\"settings\":{\"family-info\":{\"n-cores\":4,\"memory-kb\":90000,\"gauges\":[\"runnable\"],"
                + "\"halt\":\"drop\",\"calls-by-class\":[true,true],\"kb-per-key\":10},\"invariants\":{"
                + "\"drain-grace\":100,\"overload-factor\":8},\"services\":[{\"name\":\"look\",\"semantics\":\"repeatable\","
                + "\"aim\":20000,\"hard-limit\":40000},{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":20000,"
                + "\"hard-limit\":40000,\"window\":60000}]}}";
    }

    void startUp() throws IOException {
        start(configuration());
        String line = program.inputReader().readLine();
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        // Its own code has been gone through before the first operation, and nobody heard of it.
        assertTrue(program.inputReader().readLine().matches(".*rehearsed with [1-9][0-9]* operations.*"));
        link(0);
    }

    void greet() throws IOException {
        tell("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000.5}");
        // The gauges that it asks for once it has started.
        Map<?, ?> sample = hear("sample");
        tell("{\"cmd\":\"sampled\",\"token\":\"" + sample.get("token") + "\",\"load\":[0]}");
    }

    void link(long offset) throws IOException {
        agent = agents.accept();
        agent.setSoTimeout(PATIENCE_MS);
        fromAgent = new BufferedReader(new java.io.InputStreamReader(agent.getInputStream(), StandardCharsets.UTF_8));
        assertEquals(offset, hear("subscribe").get("offset"));
    }

    @AfterTry
    void end() throws IOException, InterruptedException {
        program.destroyForcibly().waitFor();
        agents.close();
        records.close();
        directory.close();
        Files.delete(file);
    }

    /** The next command of that word; samples between are answered, or its gauge would be out of date. */
    Map<?, ?> hear(String word) throws IOException {
        while (true) {
            Map<?, ?> command;
            try {
                command = Json.object(fromAgent.readLine());
            } catch (Json.MalformedJsonException e) {
                throw new IOException(e);
            }
            if (command.get("cmd").equals(word)) {
                return command;
            }
            assertEquals("sample", command.get("cmd"), "" + command);
            tell("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token") + "\",\"load\":[0]}");
        }
    }

    void tell(String line) throws IOException {
        agent.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    void outcome(long offset, Map<?, ?> launch, String result, byte[] payload) throws IOException {
        tell("{\"cmd\":\"outcome\",\"offset\":" + offset + ",\"req\":\"" + launch.get("req") + "\",\"result\":\""
                + result + "\",\"elapsed_ms\":3.5,\"payload\":\""
                + Base64.getEncoder().encodeToString(payload) + "\"}");
    }

    String operation(String tariff, String more, String body) {
        return "POST /svc/" + tariff + " HTTP/1.1\r\nHost: api\r\nReq-Id: " + String.format("%016x", ids++)
                + "\r\nReq-Time: " + System.currentTimeMillis()
                + "\r\nReq-From: 4\r\nReq-Wait-Ms: 30000\r\nReq-Kb: 24.5\r\n"
                + "Req-Rank: 0.6250\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Socket ask(String message) throws IOException {
        Socket socket = new Socket(HERE, port);
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        return ask(socket, message);
    }

    static Socket ask(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    static HttpAnswer answer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            assertTrue(next >= 0, "the answer ends within its head: " + head);
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int at = text.indexOf("Content-Length: ") + 16;
        int length = Integer.parseInt(text.substring(at, text.indexOf('\r', at)));
        return new HttpAnswer(Integer.parseInt(text.substring(9, 12)), text, in.readNBytes(length));
    }

    String recordsLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            line.append((char) record.getInputStream().read());
        }
        return line.substring(0, line.length() - 2);
    }
}
