package merlinlever.testing.faults.process;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Real processes of a test, each with a folder and a log of its own: started, killed hard, paused and resumed, told to
 * leave, started again. The harness's alone: the deployed program never starts a process.
 */
public final class ManagedProcesses implements Closeable {

    /** How one is started; the same again on a restart. */
    public record ProcessSpec(String name, List<String> command, Map<String, String> environment, Path folder) {
        public ProcessSpec {
            command = List.copyOf(command);
            environment = Map.copyOf(environment);
        }
    }

    /** What became of one, as seen from outside. */
    public enum ProcessState {
        RUNNING,
        PAUSED,
        ENDED
    }

    private static final class ManagedProcess {
        final ProcessSpec spec;
        Process process;
        boolean paused;
        int starts;

        ManagedProcess(ProcessSpec spec) {
            this.spec = spec;
        }
    }

    private final Map<String, ManagedProcess> all = new LinkedHashMap<>();

    /** Starts it, its standard output and error added to log in its folder. */
    public void start(ProcessSpec spec) throws IOException {
        ManagedProcess one = all.computeIfAbsent(spec.name(), name -> new ManagedProcess(spec));
        if (one.process != null && one.process.isAlive()) {
            throw new IllegalStateException(spec.name() + " runs already");
        }
        Files.createDirectories(spec.folder());
        ProcessBuilder builder = new ProcessBuilder(spec.command())
                .directory(spec.folder().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        spec.folder().resolve("log").toFile()));
        builder.environment().putAll(spec.environment());
        one.process = builder.start();
        one.paused = false;
        one.starts++;
    }

    /** Started again as it was started first; it has to have ended. */
    public void restart(String name) throws IOException {
        start(one(name).spec);
    }

    private ManagedProcess one(String name) {
        ManagedProcess one = all.get(name);
        if (one == null || one.process == null) {
            throw new IllegalArgumentException("no process " + name + " was started");
        }
        return one;
    }

    public List<String> names() {
        return new ArrayList<>(all.keySet());
    }

    public long pid(String name) {
        return one(name).process.pid();
    }

    public int starts(String name) {
        return all.containsKey(name) ? all.get(name).starts : 0;
    }

    public ProcessState seen(String name) {
        ManagedProcess one = one(name);
        return !one.process.isAlive() ? ProcessState.ENDED : one.paused ? ProcessState.PAUSED : ProcessState.RUNNING;
    }

    /** The exit status, once it has ended. */
    public Integer exit(String name) {
        Process process = one(name).process;
        return process.isAlive() ? null : process.exitValue();
    }

    public Path log(String name) {
        return one(name).spec.folder().resolve("log");
    }

    /** SIGKILL, as a power loss or the kernel's killer: returns once it is gone. */
    public void kill(String name) throws InterruptedException {
        ManagedProcess one = one(name);
        one.process.destroyForcibly();
        one.process.waitFor();
        one.paused = false;
    }

    /** SIGTERM: the program's own leaving; returns whether it ended within the time. */
    public boolean term(String name, Duration within) throws IOException, InterruptedException {
        ManagedProcess one = one(name);
        if (one.paused) {
            resume(name);
        }
        one.process.destroy();
        return one.process.waitFor(within.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** SIGSTOP: it does nothing, and its sockets stay open, until it is resumed. */
    public void pause(String name) throws IOException, InterruptedException {
        signal(name, "STOP");
        one(name).paused = true;
    }

    /** SIGCONT. */
    public void resume(String name) throws IOException, InterruptedException {
        signal(name, "CONT");
        one(name).paused = false;
    }

    /** SIGHUP: it reads its configuration again. */
    public void hangUp(String name) throws IOException, InterruptedException {
        signal(name, "HUP");
    }

    private void signal(String name, String signal) throws IOException, InterruptedException {
        Process process = one(name).process;
        if (!process.isAlive()) {
            return;
        }
        // Java sends TERM and KILL alone; the system's kill sends the others.
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start();
        if (!kill.waitFor(5, TimeUnit.SECONDS) || kill.exitValue() != 0) {
            throw new IOException("kill -" + signal + " " + process.pid() + " did not succeed");
        }
    }

    /** Every one still running is killed hard; the harness leaves nothing behind. */
    @Override
    public void close() {
        for (ManagedProcess one : all.values()) {
            if (one.process != null && one.process.isAlive()) {
                // A paused one ends by SIGKILL too.
                one.process.destroyForcibly();
                try {
                    one.process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }
}
