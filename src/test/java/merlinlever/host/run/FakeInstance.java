package merlinlever.host.run;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import merlinlever.backend.management.ManagementServer;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;

/**
 * Instance that serves only its status. The arguments are the management port and the path of a mode file, which
 * contains the duration of the drain after SIGTERM in milliseconds, or "crash" for an exit at startup.
 */
final class FakeInstance {

    private FakeInstance() {}

    public static void main(String[] args) throws Exception {
        String mode = Files.readString(Path.of(args[1])).strip();
        if (mode.equals("crash")) {
            System.exit(3);
        }
        EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        boolean[] draining = {false};
        ManagementServer[] managementServer = new ManagementServer[1];
        loop.execute(() -> {
            try {
                managementServer[0] = new ManagementServer(
                        loop,
                        new InetSocketAddress("127.0.0.1", Integer.parseInt(args[0])),
                        () -> "{\"phase\":\""
                                + (draining[0]
                                        ? "leaving"
                                        : loop.clock().uptime().toMillis() < 300 ? "cold" : "warm")
                                + "\",\"healthy\":true,\"hung\":false,\"held\":0,\"running\":1,"
                                + "\"in_hand\":5,\"capacity\":10,\"pushed_back\":{\"chance\":2}}");
            } catch (Exception e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(4);
            }
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            draining[0] = true;
            try {
                Thread.sleep(Long.parseLong(mode));
            } catch (InterruptedException e) {
                // The process exits.
            }
        }));
        System.out.println("up");
        loop.schedule(Duration.ofMinutes(3), () -> System.exit(9));
        loop.run();
    }
}
