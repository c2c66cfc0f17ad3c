package merlinlever.testing.faults.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Two processes that ask at once, from the same place on, as two forks of the tests may. */
class PortAllocatorTest {

    /** Starts where it is told, takes so many, and holds them until its input ends. */
    public static final class PortTaker {
        private PortTaker() {}

        public static void main(String[] args) throws Exception {
            PortAllocator.from(Integer.parseInt(args[0]));
            StringBuilder taken = new StringBuilder();
            for (int i = 0; i < Integer.parseInt(args[1]); i++) {
                taken.append(PortAllocator.free()).append(' ');
            }
            System.out.println(taken);
            while (System.in.read() >= 0) {
                // Held while the other asks.
            }
        }
    }

    @Test
    void noPortIsGivenOutTwiceNotToAnotherProcessEither() throws Exception {
        int each = 40;
        List<Process> takers = new ArrayList<>();
        try {
            for (int i = 0; i < 2; i++) {
                takers.add(new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx32m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                PortTaker.class.getName(),
                                "4321",
                                "" + each)
                        .redirectErrorStream(true)
                        .start());
            }
            Set<String> all = new TreeSet<>();
            for (Process taker : takers) {
                String line = new java.io.BufferedReader(
                                new java.io.InputStreamReader(taker.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                all.addAll(List.of(line.strip().split(" ")));
            }
            assertEquals(2 * each, all.size(), "each its own: " + all);
            int run = PortAllocator.free(30);
            for (int port = run; port < run + 30; port++) {
                assertTrue(all.add("" + port), port + " was given out before");
            }
        } finally {
            for (Process taker : takers) {
                taker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
    }
}
