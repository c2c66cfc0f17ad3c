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

/** Allocates ports in concurrent processes that start their search at the same port. */
class PortAllocatorTest {

    /** Allocates ports in a process of its own and holds them until its input ends. */
    public static final class AllocatingProgram {
        private AllocatingProgram() {}

        public static void main(String[] args) throws Exception {
            PortAllocator.startSearchAt(Integer.parseInt(args[0]));
            StringBuilder ports = new StringBuilder();
            for (int i = 0; i < Integer.parseInt(args[1]); i++) {
                ports.append(PortAllocator.free()).append(' ');
            }
            System.out.println(ports);
            while (System.in.read() >= 0) {
                // Hold the ports while the other process allocates.
            }
        }
    }

    @Test
    void portsAreUniqueAcrossProcesses() throws Exception {
        int portsPerProcess = 40;
        List<Process> processes = new ArrayList<>();
        try {
            for (int i = 0; i < 2; i++) {
                processes.add(new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx32m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                AllocatingProgram.class.getName(),
                                "4321",
                                "" + portsPerProcess)
                        .redirectErrorStream(true)
                        .start());
            }
            Set<String> all = new TreeSet<>();
            for (Process process : processes) {
                String line = new java.io.BufferedReader(
                                new java.io.InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                all.addAll(List.of(line.strip().split(" ")));
            }
            assertEquals(2 * portsPerProcess, all.size(), "ports were allocated twice: " + all);
            int first = PortAllocator.free(30);
            for (int port = first; port < first + 30; port++) {
                assertTrue(all.add("" + port), port + " was allocated twice");
            }
        } finally {
            for (Process process : processes) {
                process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
    }
}
