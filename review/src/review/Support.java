package review;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** What all cases share: the record, the processes that a case starts, a temporary folder and a limit of time. */
final class Support {
    static final int BROKEN = 1, HELD = 0, COULD_NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START = System.nanoTime();
    private static final List<Process> STARTED = new ArrayList<>();
    private static PrintWriter record;
    static Path root;
    static Path temp;

    private Support() {}

    /** Opens the record of the case, and makes sure that nothing outlives the case. */
    static void begin(String recordFile, String repository, int limitSeconds) throws IOException {
        root = Path.of(repository);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        temp = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(Support::cleanUp));
        Thread watch = new Thread(() -> {
            sleep(limitSeconds * 1000L);
            end(COULD_NOT_RUN, "the case did not end within " + limitSeconds + " s");
        });
        watch.setDaemon(true);
        watch.start();
        note("TROUBLE=" + (TROUBLE ? "1" : "0"));
    }

    private static synchronized void cleanUp() {
        record.flush();
        for (Process process : STARTED) {
            process.destroyForcibly();
        }
        for (Process process : STARTED) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // A temporary folder that is left does no harm.
        }
    }

    /** Writes a line with the time since the start, in milliseconds, to the record. */
    static synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%9.1f %s", (System.nanoTime() - START) / 1e6, line));
    }

    /** Ends the case with its result. */
    static void end(int status, String why) {
        String result = status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "COULD NOT RUN";
        note("result: " + result + ": " + why);
        synchronized (Support.class) {
            record.flush();
        }
        System.out.println(result + ": " + why);
        System.out.flush();
        System.exit(status);
    }

    /** Starts a program of the project in the repository's root; its output goes to the log. */
    static Process start(Path log, Map<String, String> environment, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (Support.class) {
            STARTED.add(process);
        }
        return process;
    }

    /** Waits until the log holds the text so many times. */
    static void awaitLog(Path log, String text, int times, long timeoutMs) throws IOException {
        long until = System.nanoTime() + timeoutMs * 1_000_000L;
        while (System.nanoTime() < until) {
            String all = Files.exists(log) ? Files.readString(log, StandardCharsets.UTF_8) : "";
            if (all.split(java.util.regex.Pattern.quote(text), -1).length - 1 >= times) {
                return;
            }
            sleep(20);
        }
        end(COULD_NOT_RUN, "the log has no '" + text + "': " + (Files.exists(log) ? Files.readString(log) : "no log"));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
