import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Map;
import java.util.Random;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Update;

/** A zone server of the project and a plain client of it. */
final class Dns {
    static final String ZONE = "example.org.";
    final int port;
    final TSIG key;
    private final Path config;
    private int lives;
    Process process;

    /** @param records lines of the zone file after its head */
    Dns(String records) throws Exception {
        // dnsjava logs each message otherwise.
        ((ch.qos.logback.classic.Logger) org.slf4j.LoggerFactory.getLogger("ROOT"))
                .setLevel(ch.qos.logback.classic.Level.OFF);
        byte[] secret = new byte[32];
        new Random(7).nextBytes(secret);
        String text = Base64.getEncoder().encodeToString(secret);
        Files.writeString(Kit.tmp.resolve("updater.key"), text);
        key = new TSIG(TSIG.HMAC_SHA256, Name.fromString("updater."), text);
        port = Kit.port();
        Files.writeString(
                Kit.tmp.resolve("example.org.zone"),
                "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns hostmaster 1 1h 15m 1w 5m\n@ IN NS ns\nns IN A 127.0.0.1\n"
                        + records);
        config = Kit.tmp.resolve("zone-serve.yaml");
        Files.writeString(
                config,
                "listen: 127.0.0.1:" + port + "\nstate: state\nkeys:\n"
                        + "  - {name: updater., algorithm: hmac-sha256, secret-file: updater.key}\nzones:\n"
                        + "  - {origin: example.org., file: example.org.zone, update: [updater.], transfer: [updater.]}\n");
        start();
    }

    void start() throws Exception {
        lives++;
        String name = "zone-" + lives;
        process = Kit.start(
                name, "exec java -jar target/merlinlever.jar zone serve --config " + config, Map.of());
        Kit.await(name, "listening", 30_000);
    }

    Update update() throws IOException {
        return new Update(Name.fromString(ZONE));
    }

    byte[] signed(Message message) {
        message.setTSIG(key, Rcode.NOERROR, null);
        return message.toWire(65_535);
    }

    byte[] query(int id, String name, int type) throws IOException {
        Message message = Message.newQuery(org.xbill.DNS.Record.newRecord(Name.fromString(name), type, DClass.IN));
        message.getHeader().setID(id);
        message.getHeader().unsetFlag(Flags.RD);
        return message.toWire();
    }

    /** Sends the octets as a datagram; the answer, or null where none comes in time. */
    Message datagram(byte[] octets, int patienceMs) throws IOException {
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(patienceMs);
            socket.send(new DatagramPacket(octets, octets.length, Kit.HERE, port));
            DatagramPacket answer = new DatagramPacket(new byte[65_535], 65_535);
            socket.receive(answer);
            return new Message(java.util.Arrays.copyOf(answer.getData(), answer.getLength()));
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    static String code(Message answer) {
        return answer == null ? "no answer" : Rcode.string(answer.getRcode());
    }

    /** How many records of the type the name has. */
    int count(String name, int type) throws Exception {
        Message answer = datagram(query(99, name, type), 3000);
        if (answer == null) {
            throw new Kit.CannotRun("a plain query is not answered");
        }
        return answer.getSection(org.xbill.DNS.Section.ANSWER).size();
    }

    static byte[] framed(byte[] octets) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(out);
        data.writeShort(octets.length);
        data.write(octets);
        return out.toByteArray();
    }

    static byte[] read(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] octets = new byte[in.readUnsignedShort()];
        in.readFully(octets);
        return octets;
    }
}
