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

/** What the whole front does on loopback sockets. */
class DnsServerTest extends DnsServerFixture {

    private static Update update() throws Exception {
        return new Update(new Name("example.org."));
    }

    @Test
    void questionsAreAnsweredAsAZoneAnswersThem() throws Exception {
        Message found = ask("Tickets.Example.ORG.", Type.A);
        assertEquals(2, found.getSection(Section.ANSWER).size());
        assertTrue(found.getHeader().getFlag(Flags.AA));
        assertEquals(
                Type.CNAME,
                ask("alias.example.org.", Type.A)
                        .getSection(Section.ANSWER)
                        .get(0)
                        .getType());
        assertEquals(
                3, ask("alias.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(
                "x.y.w.example.org.",
                ask("x.y.w.example.org.", Type.TXT)
                        .getSection(Section.ANSWER)
                        .get(0)
                        .getName()
                        .toString());
        Message empty = ask("b.example.org.", Type.A);
        assertEquals(Rcode.NOERROR, empty.getRcode());
        assertEquals(Type.SOA, empty.getSection(Section.AUTHORITY).get(0).getType());
        assertEquals(Rcode.NXDOMAIN, ask("c.example.org.", Type.A).getRcode());
        Message referred = ask("x.sub.example.org.", Type.A);
        assertFalse(referred.getHeader().getFlag(Flags.AA));
        assertEquals(Type.NS, referred.getSection(Section.AUTHORITY).get(0).getType());
        assertEquals(
                "127.0.0.9",
                ((ARecord) referred.getSection(Section.ADDITIONAL).get(0))
                        .getAddress()
                        .getHostAddress());
        assertEquals(Rcode.REFUSED, ask("example.com.", Type.A).getRcode());
    }

    @Test
    void aSignedUpdateIsSeenAndLastsAndAnUnsignedOneIsNot() throws Exception {
        Update update = update();
        update.present(new Name("tickets.example.org."));
        update.replace(new Name("tickets.example.org."), Type.A, 30, "127.0.1.9");
        assertEquals(Rcode.REFUSED, resolver(null).send(update).getRcode());
        assertEquals(
                2,
                ask("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(Rcode.NOERROR, resolver(key()).send(update).getRcode());
        assertEquals(
                1,
                ask("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        stop();
        start();
        assertEquals(
                1,
                ask("tickets.example.org.", Type.A).getSection(Section.ANSWER).size());
        assertEquals(8, zone.zone().serial());
    }

    @Test
    void keysFollowOneAnotherAndEachBadSignatureIsToldApart() throws Exception {
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
        // Raw, as the library's resolver checks what it gets itself.
        assertEquals(Rcode.BADKEY, error(signed(update, new TSIG(TSIG.HMAC_SHA256, new Name("unknown."), SECRET))));
        assertEquals(
                Rcode.BADSIG, error(signed(update, new TSIG(TSIG.HMAC_SHA256, new Name("updater."), new byte[33]))));
        unixAhead = 1000;
        assertEquals(Rcode.BADTIME, error(signed(update, key())));
        unixAhead = 0;
        byte[] cut = signed(update, key());
        assertEquals(Rcode.FORMERR, new Message(exchange(Arrays.copyOf(cut, cut.length - 20))).getRcode());
        assertEquals(8, zone.zone().serial());
    }

    private static byte[] signed(Message message, TSIG key) throws Exception {
        Message made = message.clone();
        made.setTSIG(key, Rcode.NOERROR, null);
        return made.toWire(65_535);
    }

    private int error(byte[] asked) throws Exception {
        Message answer = new Message(exchange(asked));
        assertEquals(Rcode.NOTAUTH, answer.getRcode());
        return answer.getTSIG().getError();
    }

    private byte[] exchange(byte[] octets) throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(3000);
            socket.send(new DatagramPacket(octets, octets.length, address));
            DatagramPacket got = new DatagramPacket(new byte[65_535], 65_535);
            socket.receive(got);
            return Arrays.copyOf(got.getData(), got.getLength());
        }
    }

    @Test
    void theSameDatagramTwiceIsDoneOnceEvenAcrossARestart() throws Exception {
        Update add = update();
        add.add(new Name("twice.example.org."), Type.A, 30, "127.0.1.9");
        byte[] octets = signed(add, key());
        byte[] first = exchange(octets);
        assertEquals(Rcode.NOERROR, new Message(first).getRcode());
        Update remove = update();
        remove.delete(new Name("twice.example.org."));
        assertEquals(Rcode.NOERROR, resolver(key()).send(remove).getRcode());
        assertEquals(Rcode.NOERROR, new Message(exchange(octets)).getRcode());
        assertEquals(Rcode.NXDOMAIN, ask("twice.example.org.", Type.A).getRcode());
        stop();
        start();
        assertEquals(Rcode.NOERROR, new Message(exchange(octets)).getRcode());
        assertEquals(Rcode.NXDOMAIN, ask("twice.example.org.", Type.A).getRcode());
    }

    @Test
    void whatDoesNotFitADatagramIsCutAndComesWholeOverTcp() throws Exception {
        Update many = update();
        for (int i = 0; i < 200; i++) {
            many.add(new Name("many.example.org."), Type.A, 30, "127.0.2." + i);
        }
        assertEquals(Rcode.NOERROR, resolver(key()).send(many).getRcode());
        Message cut = new Message(exchange(question("many.example.org.", Type.A).toWire()));
        assertTrue(cut.getHeader().getFlag(Flags.TC));
        assertEquals(0, cut.getSection(Section.ANSWER).size());
        assertEquals(
                200, ask("many.example.org.", Type.A).getSection(Section.ANSWER).size());
    }

    @Test
    void transfersGiveTheWholeZoneOrWhatHasChanged() throws Exception {
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
        assertThrows(Exception.class, () -> resolver(null).send(question("example.org.", Type.AXFR)), "REFUSED");
    }

    @Test
    void garbageIsAnsweredOrDroppedAndHarmsNobody() throws Exception {
        byte[] good = question("tickets.example.org.", Type.A).toWire();
        byte[] loops = good.clone();
        loops[12] = (byte) 0xc0;
        loops[13] = 12;
        assertEquals(Rcode.FORMERR, new Message(exchange(loops)).getRcode());
        byte[] behind = Arrays.copyOf(good, good.length + 3);
        assertEquals(Rcode.FORMERR, new Message(exchange(behind)).getRcode());
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(200);
            byte[] response = good.clone();
            response[2] |= (byte) 0x80;
            for (byte[] silent : new byte[][] {response, new byte[11], new byte[0]}) {
                socket.send(new DatagramPacket(silent, silent.length, address));
            }
            DatagramPacket got = new DatagramPacket(new byte[512], 512);
            SocketTimeoutException nothing = null;
            try {
                socket.receive(got);
            } catch (SocketTimeoutException e) {
                nothing = e;
            }
            assertTrue(nothing != null, "an answer to what is no question");
        }
        assertEquals(Rcode.NOERROR, ask("tickets.example.org.", Type.A).getRcode());
    }

    @Test
    void aPeerThatSendsHalfAMessageIsClosedAndOthersGoOn() throws Exception {
        try (Socket slow = new Socket(address.getAddress(), address.getPort())) {
            byte[] good = question("tickets.example.org.", Type.A).toWire();
            OutputStream out = slow.getOutputStream();
            out.write(0);
            out.write(good.length);
            out.write(good, 0, 10);
            long began = System.nanoTime();
            CompletableFuture<Integer> end = CompletableFuture.supplyAsync(() -> {
                try {
                    for (int i = 10; i < 14; i++) {
                        Thread.sleep(1000);
                        out.write(good, i, 1);
                    }
                    return slow.getInputStream().read();
                } catch (Exception e) {
                    return -1;
                }
            });
            assertEquals(Rcode.NOERROR, ask("tickets.example.org.", Type.A).getRcode());
            assertEquals(-1, end.get(9, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - began > 3_500_000_000L);
        }
    }

    @Test
    void aBurstOnAColdServerIsBegunAsItIsRead() throws Exception {
        byte[] good = question("tickets.example.org.", Type.A).toWire();
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(2000);
            // All answers may be there before the first is read; the usual buffer holds fewer than 300.
            socket.setReceiveBufferSize(1 << 20);
            for (int i = 0; i < 300; i++) {
                socket.send(new DatagramPacket(good, good.length, address));
            }
            int refused = 0;
            for (int i = 0; i < 300; i++) {
                DatagramPacket got = new DatagramPacket(new byte[512], 512);
                socket.receive(got);
                refused += (got.getData()[3] & 15) == Rcode.REFUSED ? 1 : 0;
            }
            assertEquals(0, refused);
        }
    }

    @Test
    void moreConnectionsThanAllowedMakeRoom() throws Exception {
        Socket[] idle = new Socket[12];
        for (int i = 0; i < idle.length; i++) {
            idle[i] = new Socket(address.getAddress(), address.getPort());
        }
        Thread.sleep(100);
        SimpleResolver tcp = resolver(null);
        tcp.setTCP(true);
        assertEquals(
                Rcode.NOERROR,
                tcp.send(question("tickets.example.org.", Type.A)).getRcode());
        for (Socket socket : idle) {
            socket.close();
        }
    }

    @Test
    void aDrainAnswersWhatWasReadAndRefusesWhatCameLate() throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            byte[] good = question("tickets.example.org.", Type.A).toWire();
            byte[] framed = new byte[good.length + 2];
            framed[1] = (byte) good.length;
            System.arraycopy(good, 0, framed, 2, good.length);
            CompletableFuture<Boolean> draining = new CompletableFuture<>();
            loop.execute(() -> {
                front.startDrain(Duration.ofSeconds(2));
                draining.complete(true);
            });
            assertTrue(draining.get(1, TimeUnit.SECONDS));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            // Within the grace it is answered, past it turned away; an answer comes either way.
            assertEquals(Rcode.NOERROR, answered(socket, framed, in));
            Thread.sleep(300);
            assertEquals(Rcode.REFUSED, answered(socket, framed, in));
            Update late = update();
            late.add(new Name("late.example.org."), Type.A, 30, "127.0.1.9");
            assertEquals(Rcode.REFUSED, new Message(exchange(signed(late, key()))).getRcode());
            loop.execute(front::close);
            assertEquals(-1, in.read());
            CompletableFuture<Boolean> answered = new CompletableFuture<>();
            loop.execute(() -> answered.complete(front.isDrained()));
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
    void everyKindOfPrerequisiteDecidesTheWhole() throws Exception {
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
                    ask("done" + i + ".example.org.", Type.A).getRcode());
        }
    }
}
