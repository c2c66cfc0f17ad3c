import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** A records service after the protocol page, which answers each call and counts those that come within a span. */
final class Records {
    private final ServerSocket listener;
    private final int answerMs;
    private final long spanMs;
    private final ArrayDeque<Long> recent = new ArrayDeque<>();
    private long calls;
    private long most;

    Records(int answerMs, long spanMs) throws IOException {
        this.answerMs = answerMs;
        this.spanMs = spanMs;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(Kit.HERE, 0), 500);
        Thread accepting = new Thread(this::accept, "records-accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread serving = new Thread(() -> serve(socket), "records");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                StringBuilder line = new StringBuilder();
                int c = in.read();
                for (; c >= 0 && c != '\n'; c = in.read()) {
                    line.append((char) c);
                }
                if (c < 0) {
                    return;
                }
                String[] words = line.toString().strip().split(" ");
                if (!words[0].equals("OP")) {
                    continue;
                }
                in.readNBytes(Integer.parseInt(words[3]) + 2);
                started();
                Thread.sleep(answerMs);
                out.write((words[1] + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException e) {
            // The call is given up.
        }
    }

    private synchronized void started() {
        long now = Kit.ms();
        calls++;
        recent.add(now);
        while (now - recent.peek() >= spanMs) {
            recent.poll();
        }
        if (recent.size() > most) {
            most = recent.size();
        }
    }

    /** The most calls within the span so far, which is forgotten. */
    synchronized long takeMost() {
        long taken = most;
        most = recent.size();
        return taken;
    }

    synchronized long calls() {
        return calls;
    }
}
