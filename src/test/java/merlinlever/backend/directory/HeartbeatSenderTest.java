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

/** Heartbeats against the lapse of an entry, and to a directory that is not there. */
class HeartbeatSenderTest {

    private static final long ENTRY_EXPIRY_MS = 3000;

    /** Lapses in so many seconds, each report a little late and one in four lost. */
    private static int countExpiries(long periodMs, int seconds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int lapses = 0;
        double last = 0;
        for (double at = 0; at < seconds * 1000.0; at += periodMs + random.nextInt(1, 10)) {
            if (random.nextInt(4) > 0) {
                lapses += at - last >= ENTRY_EXPIRY_MS ? 1 : 0;
                last = at;
            }
        }
        return lapses;
    }

    /** Against a backend that serves and drops off the list: with one a second that came about every twenty seconds. */
    @Test
    void losingAQuarterOfTheHeartbeatsRarelyExpiresTheEntry() {
        int lapses = 0;
        int before = 0;
        for (long seed = 1; seed <= 20; seed++) {
            lapses += countExpiries(HeartbeatSender.PERIOD.toMillis(), 1000, seed);
            before += countExpiries(1000, 1000, seed);
        }
        assertTrue(lapses < 20 * 4, lapses + " in 20,000 s");
        assertTrue(before > 20 * 20, before + " in 20,000 s with one a second: the model counts them");
    }

    /** A directory that is gone, or moves between two reports, costs nothing but those heartbeats. */
    @Test
    void heartbeatsContinueWhenTheDirectoryIsDownAndMoves() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        DatagramSocket gone = new DatagramSocket(0, here);
        int port = gone.getLocalPort();
        gone.close();
        HeartbeatSender heartbeats = new HeartbeatSender(new InetSocketAddress(here, port), "n3");
        try (DatagramSocket directory = new DatagramSocket(0, here)) {
            directory.setSoTimeout(20_000);
            for (int i = 0; i < 3; i++) {
                heartbeats.send(true);
            }
            heartbeats.setAddress(new InetSocketAddress(here, directory.getLocalPort()));
            heartbeats.send(false);
            DatagramPacket packet = new DatagramPacket(new byte[100], 100);
            directory.receive(packet);
            assertEquals(
                    "PULSE n3 closed", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        }
    }
}
