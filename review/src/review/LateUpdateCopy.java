package review;

import static review.Support.note;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * A late copy of an answered dynamic update reaches the zone server after a restart. The update changed nothing when it
 * was decided; meanwhile another update, answered as well, has changed the same name.
 */
public final class LateUpdateCopy {
    private static final String SECRET = "cmV2aWV3LWNhc2Utbm90LWEtc2VjcmV0LWtleQ==";
    private static final int REQUESTS = 5;

    private static InetSocketAddress server;
    private static Path log;
    private static String config;
    private static int starts;

    private LateUpdateCopy() {}

    public static void main(String[] arguments) throws Exception {
        Support.begin(arguments[0], arguments[1], 100);
        try {
            run();
        } catch (Exception e) {
            Support.end(Support.COULD_NOT_RUN, e.toString());
        }
    }

    private static Process startServer() throws Exception {
        Process process = Support.start(
                log, Map.of(), "java", "-jar", "target/merlinlever.jar", "zone", "serve", "--config", config);
        starts++;
        Support.awaitLog(log, "listening address=", starts, 30_000);
        note("zone server started, start " + starts);
        return process;
    }

    private static void run() throws Exception {
        int port = Support.freePort();
        server = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
        log = Support.temp.resolve("zone.log");
        Files.writeString(Support.temp.resolve("updater.key"), SECRET + "\n");
        Files.writeString(
                Support.temp.resolve("example.org.zone"),
                "$ORIGIN example.org.\n$TTL 1h\n@ IN SOA ns1 hostmaster ( 1 1h 15m 1w 5m )\n  IN NS ns1\n"
                        + "ns1 IN A 127.0.0.1\n");
        Path file = Support.temp.resolve("zone-serve.yaml");
        Files.writeString(
                file,
                "listen: 127.0.0.1:" + port + "\nstate: state\nkeys:\n"
                        + "  - {name: updater., algorithm: hmac-sha256, secret-file: updater.key}\nzones:\n"
                        + "  - {origin: example.org., file: example.org.zone, update: [updater.], "
                        + "transfer: [updater.]}\n");
        config = file.toString();
        Process process = startServer();

        Name zone = Name.fromString("example.org.");
        Name[] names = new Name[REQUESTS];
        byte[][] deletes = new byte[REQUESTS][];
        // 1. A client makes sure that a ticket server that has left has no address. There is none: nothing to change.
        for (int i = 0; i < REQUESTS; i++) {
            names[i] = Name.fromString("tickets-" + i + ".example.org.");
            Update delete = new Update(zone);
            delete.delete(names[i], Type.A);
            deletes[i] = signed(delete);
            int code = exchange(deletes[i]);
            note("update 'delete " + names[i] + " A' sent, answered " + Rcode.string(code));
            requireNoError(code);
        }
        // 2. The ticket servers come back, and their addresses are added.
        for (int i = 0; i < REQUESTS; i++) {
            Update add = new Update(zone);
            add.add(names[i], Type.A, 60, "127.0.1." + (i + 1));
            int code = exchange(signed(add));
            note("update 'add " + names[i] + " A 127.0.1." + (i + 1) + "' sent, answered " + Rcode.string(code));
            requireNoError(code);
            requireAddress(names[i]);
        }
        // 3. The zone server is killed and started again.
        if (Support.TROUBLE) {
            process.destroyForcibly().waitFor();
            note("zone server killed (SIGKILL)");
            process = startServer();
        }
        for (Name name : names) {
            requireAddress(name);
        }
        // 4. A second copy of each datagram of step 1, which was sent again or held up on its way, arrives now.
        int lost = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int code = exchange(deletes[i]);
            boolean there = hasAddress(names[i]);
            note("late copy of 'delete " + names[i] + " A', the same octets, answered " + Rcode.string(code)
                    + "; the added address is " + (there ? "there" : "GONE"));
            lost += there ? 0 : 1;
        }
        process.destroyForcibly().waitFor();
        if (lost > 0) {
            Support.end(
                    Support.BROKEN,
                    lost + " of " + REQUESTS + " answered updates were carried out again by a late copy; "
                            + "the addresses that were added and answered since are gone");
        }
        Support.end(Support.HELD, "no late copy was carried out again");
    }

    private static byte[] signed(Update update) throws Exception {
        TSIG key = new TSIG(TSIG.HMAC_SHA256, "updater.", SECRET);
        update.setTSIG(key);
        return update.toWire(65535);
    }

    /** Sends the datagram, and again each second until an answer comes. */
    private static int exchange(byte[] octets) throws Exception {
        return send(octets).getRcode();
    }

    private static Message send(byte[] octets) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            socket.setSoTimeout(1000);
            byte[] room = new byte[65535];
            for (int i = 0; i < 5; i++) {
                socket.send(new DatagramPacket(octets, octets.length, server));
                try {
                    DatagramPacket answer = new DatagramPacket(room, room.length);
                    socket.receive(answer);
                    return new Message(Arrays.copyOf(room, answer.getLength()));
                } catch (SocketTimeoutException e) {
                    note("no answer yet, sent again");
                }
            }
        }
        throw new IllegalStateException("no answer from the zone server");
    }

    private static void requireNoError(int code) {
        if (code != Rcode.NOERROR) {
            throw new IllegalStateException("an update was answered " + Rcode.string(code));
        }
    }

    private static void requireAddress(Name name) throws Exception {
        if (!hasAddress(name)) {
            throw new IllegalStateException(name + " has no address before the late copy");
        }
    }

    private static boolean hasAddress(Name name) throws Exception {
        Message answer = send(Message.newQuery(Record.newRecord(name, Type.A, DClass.IN)).toWire());
        return !answer.getSection(Section.ANSWER).isEmpty();
    }
}
