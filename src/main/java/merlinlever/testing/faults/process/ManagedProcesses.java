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
 * The operating-system processes of a test, each with its own folder and log. Only for tests: in a deployment, only
 * {@code host run} starts processes.
 */
public final class ManagedProcesses implements Closeable {

    /** The command, environment and working folder of a process, for its first start and its restarts. */
    public record ProcessSpec(String name, List<String> command, Map<String, String> environment, Path folder) {
        /** Copies the collections. */
        public ProcessSpec {
            command = List.copyOf(command);
            environment = Map.copyOf(environment);
        }
    }

    /** The state of a process as observed by the test. */
    public enum ProcessState {
        RUNNING,
        /** Stopped by SIGSTOP. */
        PAUSED,
        ENDED
    }

    private static final class ManagedProcess {
        private final ProcessSpec spec;
        /** Null before the first start. */
        private Process process;

        private boolean paused;
        private int starts;

        ManagedProcess(ProcessSpec spec) {
            this.spec = spec;
        }
    }

    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(5);
    private static final String LOG_FILE = "log";

    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

    /** Starts a process and appends its standard output and error to its log. */
    public void start(ProcessSpec spec) throws IOException {
        ManagedProcess managed = processes.computeIfAbsent(spec.name(), name -> new ManagedProcess(spec));
        if (managed.process != null && managed.process.isAlive()) {
            throw new IllegalStateException(spec.name() + " is already running");
        }
        Files.createDirectories(spec.folder());
        ProcessBuilder builder = new ProcessBuilder(spec.command())
                .directory(spec.folder().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        spec.folder().resolve(LOG_FILE).toFile()));
        builder.environment().putAll(spec.environment());
        managed.process = builder.start();
        managed.paused = false;
        managed.starts++;
    }

    /** Restarts a process that has ended. */
    public void restart(String name) throws IOException {
        start(find(name).spec);
    }

    private ManagedProcess find(String name) {
        ManagedProcess managed = processes.get(name);
        if (managed == null || managed.process == null) {
            throw new IllegalArgumentException("process " + name + " has not been started");
        }
        return managed;
    }

    /** Returns the names of all processes in the order of their first start. */
    public List<String> names() {
        return new ArrayList<>(processes.keySet());
    }

    /** Returns the process id, also after the end of the process. */
    public long pid(String name) {
        return find(name).process.pid();
    }

    /** Returns the number of starts of a process. */
    public int starts(String name) {
        return processes.containsKey(name) ? processes.get(name).starts : 0;
    }

    /** Returns the current state of a process. */
    public ProcessState state(String name) {
        ManagedProcess managed = find(name);
        if (!managed.process.isAlive()) {
            return ProcessState.ENDED;
        }
        return managed.paused ? ProcessState.PAUSED : ProcessState.RUNNING;
    }

    /** Returns the log file of a process. */
    public Path log(String name) {
        return find(name).spec.folder().resolve(LOG_FILE);
    }

    /** Sends SIGKILL and waits for the process to end. */
    public void kill(String name) throws InterruptedException {
        ManagedProcess managed = find(name);
        managed.process.destroyForcibly();
        managed.process.waitFor();
        managed.paused = false;
    }

    /** Sends SIGTERM, after SIGCONT to a paused process, and returns whether the process ended within the timeout. */
    public boolean terminate(String name, Duration timeout) throws IOException, InterruptedException {
        ManagedProcess managed = find(name);
        if (managed.paused) {
            resume(name);
        }
        managed.process.destroy();
        return managed.process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends SIGSTOP, which suspends the process until {@link #resume}; its sockets remain open. */
    public void pause(String name) throws IOException, InterruptedException {
        signal(name, "STOP");
        find(name).paused = true;
    }

    /** Sends SIGCONT. */
    public void resume(String name) throws IOException, InterruptedException {
        signal(name, "CONT");
        find(name).paused = false;
    }

    /** Sends SIGHUP, which makes the program reload its configuration. */
    public void hangUp(String name) throws IOException, InterruptedException {
        signal(name, "HUP");
    }

    private void signal(String name, String signal) throws IOException, InterruptedException {
        Process process = find(name).process;
        if (!process.isAlive()) {
            return;
        }
        // The Java API can send only SIGTERM and SIGKILL.
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start();
        if (!kill.waitFor(SIGNAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
            throw new IOException("kill -" + signal + " " + process.pid() + " failed or timed out");
        }
    }

    /** Kills all processes that still run, including paused ones. */
    @Override
    public void close() {
        for (ManagedProcess managed : processes.values()) {
            if (managed.process != null && managed.process.isAlive()) {
                managed.process.destroyForcibly();
                try {
                    managed.process.waitFor(KILL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }
}
