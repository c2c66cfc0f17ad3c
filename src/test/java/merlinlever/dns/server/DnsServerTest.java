package merlinlever.dns.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinlever.dns.record.DomainNames;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import org.xbill.DNS.ZoneTransferIn;

/** End-to-end tests of the DNS server over loopback sockets. */
class DnsServerTest extends DnsServerFixture {

    private static Update update() throws Exception {
        return new Update(new Name("example.org."));
    }

    @Test
    void queriesAreAnsweredFromTheZone() throws Exception {
        Message found = query("Tickets.Example.ORG.", Type.A);
        assertEquals(2, found.getSection(Section.ANSWER).size());
        assertTrue(found.getHeader().getFlag(Flags.AA));
        assertEquals(
                Type.CNAME,
                query("alias.example.org.", Type.A)
                        .getSection(Section.ANSWER)
                        .get(0)
                        .getType());
        assertEquals(
                3,
                query("alias.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(
                "x.y.w.example.org.",
                query("x.y.w.example.org.", Type.TXT)
                        .getSection(Section.ANSWER)
                        .get(0)
                        .getName()
                        .toString());
        Message empty = query("b.example.org.", Type.A);
        assertEquals(Rcode.NOERROR, empty.getRcode());
        assertEquals(Type.SOA, empty.getSection(Section.AUTHORITY).get(0).getType());
        assertEquals(Rcode.NXDOMAIN, query("c.example.org.", Type.A).getRcode());
        Message referral = query("x.sub.example.org.", Type.A);
        assertFalse(referral.getHeader().getFlag(Flags.AA));
        assertEquals(Type.NS, referral.getSection(Section.AUTHORITY).get(0).getType());
        assertEquals(
                "127.0.0.9",
                ((ARecord) referral.getSection(Section.ADDITIONAL).get(0))
                        .getAddress()
                        .getHostAddress());
        assertEquals(Rcode.REFUSED, query("example.com.", Type.A).getRcode());
    }

    @Test
    void signedUpdateIsAppliedAndDurableAndUnsignedUpdateIsRefused() throws Exception {
        Update update = update();
        update.present(new Name("tickets.example.org."));
        update.replace(new Name("tickets.example.org."), Type.A, 30, "127.0.1.9");
        assertEquals(Rcode.REFUSED, resolver(null).send(update).getRcode());
        assertEquals(
                2,
                query("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(Rcode.NOERROR, resolver(key()).send(update).getRcode());
        assertEquals(
                1,
                query("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        stop();
        start();
        assertEquals(
                1,
                query("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(8, zone.zone().serial());
    }

    @Test
    void severalKeysAreAcceptedAndEachSignatureErrorIsReported() throws Exception {
        Update update = update();
        update.add(new Name("n.example.org."), Type.A, 30, "127.0.1.9");
        assertEquals(
                Rcode.NOERROR,
                resolver(new TSIG(TSIG.HMAC_SHA512, new Name("next."), new byte[48]))
                        .send(update)
                        .getRcode());
        assertEquals(
                Rcode.REFUSED,
                resolver(new TSIG(TSIG.HMAC_SHA256, new Name("reader."), new byte[48]))
                        .send(update)
                        .getRcode());
        // Sent without the resolver of dnsjava, which would reject the responses.
        assertEquals(
                Rcode.BADKEY, signatureError(signed(update, new TSIG(TSIG.HMAC_SHA256, new Name("unknown."), SECRET))));
        assertEquals(
                Rcode.BADSIG,
                signatureError(signed(update, new TSIG(TSIG.HMAC_SHA256, new Name("updater."), new byte[33]))));
        clockOffsetSeconds = 1000;
        assertEquals(Rcode.BADTIME, signatureError(signed(update, key())));
        clockOffsetSeconds = 0;
        byte[] signedUpdate = signed(update, key());
        assertEquals(
                Rcode.FORMERR, new Message(exchange(Arrays.copyOf(signedUpdate, signedUpdate.length - 20))).getRcode());
        assertEquals(8, zone.zone().serial());
    }

    private static byte[] signed(Message message, TSIG key) throws Exception {
        Message signed = message.clone();
        signed.setTSIG(key, Rcode.NOERROR, null);
        return signed.toWire(65_535);
    }

    private int signatureError(byte[] request) throws Exception {
        Message answer = new Message(exchange(request));
        assertEquals(Rcode.NOTAUTH, answer.getRcode());
        return answer.getTSIG().getError();
    }

    private byte[] exchange(byte[] octets) throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(3000);
            socket.send(new DatagramPacket(octets, octets.length, address));
            DatagramPacket received = new DatagramPacket(new byte[65_535], 65_535);
            socket.receive(received);
            return Arrays.copyOf(received.getData(), received.getLength());
        }
    }

    @Test
    void duplicateUpdateIsAppliedOnceEvenAcrossARestart() throws Exception {
        Update add = update();
        add.add(new Name("twice.example.org."), Type.A, 30, "127.0.1.9");
        byte[] octets = signed(add, key());
        byte[] first = exchange(octets);
        assertEquals(Rcode.NOERROR, new Message(first).getRcode());
        Update remove = update();
        remove.delete(new Name("twice.example.org."));
        assertEquals(Rcode.NOERROR, resolver(key()).send(remove).getRcode());
        assertEquals(Rcode.NOERROR, new Message(exchange(octets)).getRcode());
        assertEquals(Rcode.NXDOMAIN, query("twice.example.org.", Type.A).getRcode());
        stop();
        start();
        assertEquals(Rcode.NOERROR, new Message(exchange(octets)).getRcode());
        assertEquals(Rcode.NXDOMAIN, query("twice.example.org.", Type.A).getRcode());
    }

    @Test
    void largeResponseIsTruncatedOverUdpAndCompleteOverTcp() throws Exception {
        Update many = update();
        for (int i = 0; i < 200; i++) {
            many.add(new Name("many.example.org."), Type.A, 30, "127.0.2." + i);
        }
        assertEquals(Rcode.NOERROR, resolver(key()).send(many).getRcode());
        Message truncated =
                new Message(exchange(newQuery("many.example.org.", Type.A).toWire()));
        assertTrue(truncated.getHeader().getFlag(Flags.TC));
        assertEquals(0, truncated.getSection(Section.ANSWER).size());
        assertEquals(
                200,
                query("many.example.org.", Type.A).getSection(Section.ANSWER).size());
    }

    @Test
    void transfersSendTheWholeZoneOrTheDifferences() throws Exception {
        ZoneTransferIn all = ZoneTransferIn.newAXFR(new Name("example.org."), address, key());
        all.run();
        assertEquals(zone.zone().records() + 1, all.getAXFR().size());
        for (int i = 0; i < 3; i++) {
            Update update = update();
            update.add(new Name("n" + i + ".example.org."), Type.A, 30, "127.0.1.9");
            assertEquals(Rcode.NOERROR, resolver(key()).send(update).getRcode());
        }
        ZoneTransferIn changed = ZoneTransferIn.newIXFR(new Name("example.org."), 7, false, address, key());
        changed.run();
        assertTrue(changed.isIXFR());
        assertEquals(3, changed.getIXFR().size());
        ZoneTransferIn none = ZoneTransferIn.newIXFR(new Name("example.org."), 10, false, address, key());
        none.run();
        assertTrue(none.isCurrent());
        ZoneTransferIn old = ZoneTransferIn.newIXFR(new Name("example.org."), 3, true, address, key());
        old.run();
        assertTrue(old.isAXFR());
        assertThrows(Exception.class, () -> resolver(null).send(newQuery("example.org.", Type.AXFR)), "REFUSED");
    }

    @Test
    void malformedMessagesAreAnsweredOrDropped() throws Exception {
        byte[] request = newQuery("tickets.example.org.", Type.A).toWire();
        byte[] pointerLoop = request.clone();
        pointerLoop[12] = (byte) 0xc0;
        pointerLoop[13] = 12;
        assertEquals(Rcode.FORMERR, new Message(exchange(pointerLoop)).getRcode());
        byte[] trailingOctets = Arrays.copyOf(request, request.length + 3);
        assertEquals(Rcode.FORMERR, new Message(exchange(trailingOctets)).getRcode());
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(200);
            byte[] response = request.clone();
            response[2] |= (byte) 0x80;
            for (byte[] dropped : new byte[][] {response, new byte[11], new byte[0]}) {
                socket.send(new DatagramPacket(dropped, dropped.length, address));
            }
            DatagramPacket received = new DatagramPacket(new byte[512], 512);
            SocketTimeoutException timeout = null;
            try {
                socket.receive(received);
            } catch (SocketTimeoutException e) {
                timeout = e;
            }
            assertTrue(timeout != null, "the server answered a message that is not a request");
        }
        assertEquals(Rcode.NOERROR, query("tickets.example.org.", Type.A).getRcode());
    }

    @Test
    void connectionWithAnIncompleteMessageIsClosedAfterTheTimeout() throws Exception {
        try (Socket slow = new Socket(address.getAddress(), address.getPort())) {
            byte[] request = newQuery("tickets.example.org.", Type.A).toWire();
            OutputStream out = slow.getOutputStream();
            out.write(0);
            out.write(request.length);
            out.write(request, 0, 10);
            long startedAt = System.nanoTime();
            CompletableFuture<Integer> end = CompletableFuture.supplyAsync(() -> {
                try {
                    for (int i = 10; i < 14; i++) {
                        Thread.sleep(1000);
                        out.write(request, i, 1);
                    }
                    return slow.getInputStream().read();
                } catch (Exception e) {
                    return -1;
                }
            });
            assertEquals(Rcode.NOERROR, query("tickets.example.org.", Type.A).getRcode());
            assertEquals(-1, end.get(9, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - startedAt > 3_500_000_000L);
        }
    }

    @Test
    void burstAfterStartIsAdmittedCompletely() throws Exception {
        byte[] request = newQuery("tickets.example.org.", Type.A).toWire();
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(2000);
            // All responses may arrive before the first is read; the default buffer holds fewer than 300.
            socket.setReceiveBufferSize(1 << 20);
            for (int i = 0; i < 300; i++) {
                socket.send(new DatagramPacket(request, request.length, address));
            }
            int refused = 0;
            for (int i = 0; i < 300; i++) {
                DatagramPacket received = new DatagramPacket(new byte[512], 512);
                socket.receive(received);
                refused += (received.getData()[3] & 15) == Rcode.REFUSED ? 1 : 0;
            }
            assertEquals(0, refused);
        }
    }

    @Test
    void idleConnectionsAreClosedAtTheConnectionLimit() throws Exception {
        Socket[] idle = new Socket[12];
        for (int i = 0; i < idle.length; i++) {
            idle[i] = new Socket(address.getAddress(), address.getPort());
        }
        Thread.sleep(100);
        SimpleResolver tcp = resolver(null);
        tcp.setTCP(true);
        assertEquals(
                Rcode.NOERROR,
                tcp.send(newQuery("tickets.example.org.", Type.A)).getRcode());
        for (Socket socket : idle) {
            socket.close();
        }
    }

    @Test
    void drainAnswersWithinTheGracePeriodAndRefusesLater() throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            byte[] request = newQuery("tickets.example.org.", Type.A).toWire();
            byte[] framed = new byte[request.length + 2];
            framed[1] = (byte) request.length;
            System.arraycopy(request, 0, framed, 2, request.length);
            CompletableFuture<Boolean> draining = new CompletableFuture<>();
            loop.execute(() -> {
                server.startDrain(Duration.ofSeconds(2));
                draining.complete(true);
            });
            assertTrue(draining.get(1, TimeUnit.SECONDS));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            // Within the grace period the query is answered; later it is refused, with a response.
            assertEquals(Rcode.NOERROR, answered(socket, framed, in));
            Thread.sleep(300);
            assertEquals(Rcode.REFUSED, answered(socket, framed, in));
            Update late = update();
            late.add(new Name("late.example.org."), Type.A, 30, "127.0.1.9");
            assertEquals(Rcode.REFUSED, new Message(exchange(signed(late, key()))).getRcode());
            loop.execute(server::close);
            assertEquals(-1, in.read());
            CompletableFuture<Boolean> answered = new CompletableFuture<>();
            loop.execute(() -> answered.complete(server.isDrained()));
            assertTrue(answered.get(1, TimeUnit.SECONDS));
            assertNull(zone.zone().set(DomainNames.absolute("late.example.org."), Type.A));
        }
    }

    private static int answered(Socket socket, byte[] framed, DataInputStream in) throws Exception {
        socket.getOutputStream().write(framed);
        byte[] answer = new byte[in.readUnsignedShort()];
        in.readFully(answer);
        assertArrayEquals(new byte[] {framed[2], framed[3]}, Arrays.copyOf(answer, 2));
        return new Message(answer).getRcode();
    }

    @Test
    void anyFailedPrerequisiteRejectsTheWholeUpdate() throws Exception {
        Name tickets = new Name("tickets.example.org.");
        Name none = new Name("none.example.org.");
        int[] expected = {
            Rcode.NXDOMAIN, Rcode.YXDOMAIN, Rcode.NXRRSET, Rcode.YXRRSET, Rcode.NXRRSET, Rcode.NOTZONE, Rcode.NOERROR
        };
        for (int i = 0; i < expected.length; i++) {
            Update update = update();
            switch (i) {
                case 0 -> update.present(none);
                case 1 -> update.absent(tickets);
                case 2 -> update.present(tickets, Type.TXT);
                case 3 -> update.absent(tickets, Type.A);
                case 4 -> update.present(tickets, Type.A, "127.0.1.1");
                case 5 -> update.present(new Name("example.com."));
                default -> {
                    update.present(tickets, Type.A, "127.0.1.1");
                    update.present(tickets, Type.A, "127.0.1.2");
                }
            }
            update.add(new Name("done" + i + ".example.org."), Type.A, 30, "127.0.1.9");
            assertEquals(expected[i], resolver(key()).send(update).getRcode(), "case " + i);
            assertEquals(
                    expected[i] == Rcode.NOERROR ? Rcode.NOERROR : Rcode.NXDOMAIN,
                    query("done" + i + ".example.org.", Type.A).getRcode());
        }
    }
}
