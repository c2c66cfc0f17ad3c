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
 * Real processes of a test, each with a folder and a log of its own. Only for tests: the deployed program starts no
 * process but in {@code host run}.
 */
public final class ManagedProcesses implements Closeable {

    /** How a process is started, also on a restart. */
    public record ProcessSpec(String name, List<String> command, Map<String, String> environment, Path folder) {
        /** Copies the collections. */
        public ProcessSpec {
            command = List.copyOf(command);
            environment = Map.copyOf(environment);
        }
    }

    /** The state of a process as it is seen from outside. */
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

    /** Starts a process; its standard output and error are appended to its log. */
    public void start(ProcessSpec spec) throws IOException {
        ManagedProcess managed = processes.computeIfAbsent(spec.name(), name -> new ManagedProcess(spec));
        if (managed.process != null && managed.process.isAlive()) {
            throw new IllegalStateException(spec.name() + " runs already");
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

    /** Starts a process again that has ended. */
    public void restart(String name) throws IOException {
        start(find(name).spec);
    }

    private ManagedProcess find(String name) {
        ManagedProcess managed = processes.get(name);
        if (managed == null || managed.process == null) {
            throw new IllegalArgumentException("no process " + name + " was started");
        }
        return managed;
    }

    /** The names of all processes in the order of their first start. */
    public List<String> names() {
        return new ArrayList<>(processes.keySet());
    }

    /** The process id, also of one that has ended. */
    public long pid(String name) {
        return find(name).process.pid();
    }

    /** How often it was started. */
    public int starts(String name) {
        return processes.containsKey(name) ? processes.get(name).starts : 0;
    }

    /** Its state now. */
    public ProcessState state(String name) {
        ManagedProcess managed = find(name);
        if (!managed.process.isAlive()) {
            return ProcessState.ENDED;
        }
        return managed.paused ? ProcessState.PAUSED : ProcessState.RUNNING;
    }

    /** The file with its output. */
    public Path log(String name) {
        return find(name).spec.folder().resolve(LOG_FILE);
    }

    /** Sends SIGKILL and returns once the process has ended. */
    public void kill(String name) throws InterruptedException {
        ManagedProcess managed = find(name);
        managed.process.destroyForcibly();
        managed.process.waitFor();
        managed.paused = false;
    }

    /** Sends SIGTERM, after SIGCONT if it is paused, and returns whether it ended within the time. */
    public boolean terminate(String name, Duration within) throws IOException, InterruptedException {
        ManagedProcess managed = find(name);
        if (managed.paused) {
            resume(name);
        }
        managed.process.destroy();
        return managed.process.waitFor(within.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends SIGSTOP: the process does nothing until it is resumed, and its sockets stay open. */
    public void pause(String name) throws IOException, InterruptedException {
        signal(name, "STOP");
        find(name).paused = true;
    }

    /** Sends SIGCONT. */
    public void resume(String name) throws IOException, InterruptedException {
        signal(name, "CONT");
        find(name).paused = false;
    }

    /** Sends SIGHUP, at which the program reads its configuration again. */
    public void hangUp(String name) throws IOException, InterruptedException {
        signal(name, "HUP");
    }

    private void signal(String name, String signal) throws IOException, InterruptedException {
        Process process = find(name).process;
        if (!process.isAlive()) {
            return;
        }
        // Java itself sends TERM and KILL only.
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start();
        if (!kill.waitFor(SIGNAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
            throw new IOException("kill -" + signal + " " + process.pid() + " did not succeed");
        }
    }

    /** Kills all processes that still run, also paused ones. */
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
