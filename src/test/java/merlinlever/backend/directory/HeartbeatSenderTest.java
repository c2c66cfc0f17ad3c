package merlinlever.backend.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Heartbeats with lost datagrams, and to a directory that is down. */
class HeartbeatSenderTest {

    private static final long ENTRY_EXPIRY_MS = 3000;

    /** Simulates delayed heartbeats of which one in four is lost, and counts the expiries of the directory entry. */
    private static int countExpiries(long periodMs, int seconds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int expiries = 0;
        double lastReceivedAt = 0;
        for (double sentAt = 0; sentAt < seconds * 1000.0; sentAt += periodMs + random.nextInt(1, 10)) {
            if (random.nextInt(4) > 0) {
                expiries += sentAt - lastReceivedAt >= ENTRY_EXPIRY_MS ? 1 : 0;
                lastReceivedAt = sentAt;
            }
        }
        return expiries;
    }

    /** With one heartbeat per second, the entry of a healthy backend would expire about every 20 s. */
    @Test
    void lossOfAQuarterOfTheHeartbeatsRarelyExpiresTheEntry() {
        int expiries = 0;
        int expiriesAtOnePerSecond = 0;
        for (long seed = 1; seed <= 20; seed++) {
            expiries += countExpiries(HeartbeatSender.PERIOD.toMillis(), 1000, seed);
            expiriesAtOnePerSecond += countExpiries(1000, 1000, seed);
        }
        assertTrue(expiries < 20 * 4, expiries + " expiries in 20,000 s");
        assertTrue(
                expiriesAtOnePerSecond > 20 * 20,
                expiriesAtOnePerSecond + " expiries in 20,000 s with one heartbeat per second");
    }

    /** Heartbeats to a directory that is down are dropped, and those after a change of its address are received. */
    @Test
    void heartbeatsContinueWhenTheDirectoryIsDownOrMoves() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        DatagramSocket closedSocket = new DatagramSocket(0, loopback);
        int closedPort = closedSocket.getLocalPort();
        closedSocket.close();
        HeartbeatSender heartbeats = new HeartbeatSender(new InetSocketAddress(loopback, closedPort), "n3");
        try (DatagramSocket directory = new DatagramSocket(0, loopback)) {
            directory.setSoTimeout(20_000);
            for (int i = 0; i < 3; i++) {
                heartbeats.send(true);
            }
            heartbeats.setAddress(new InetSocketAddress(loopback, directory.getLocalPort()));
            heartbeats.send(false);
            DatagramPacket packet = new DatagramPacket(new byte[100], 100);
            directory.receive(packet);
            assertEquals(
                    "PULSE n3 closed", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        }
    }
}
