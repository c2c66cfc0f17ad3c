package merlinlever.host.run;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Launches, finds and signals operating system processes. Requires the {@code /proc} file system of Linux. */
public final class OsProcesses {

    /** Environment variable with the launch token, which identifies a process after a restart of the agent. */
    public static final String TOKEN = "MERLINLEVER_LAUNCH";

    private static final Path PROC = Path.of("/proc");
    private static final Path NULL_DEVICE = Path.of("/dev/null");
    /** Start time of a process that exited before its start time was read; no other process has this value. */
    private static final long UNKNOWN_START = -1;

    // Field indexes in /proc/PID/stat, see proc(5), counted from the first field after the name.
    private static final int STAT_STATE_FIELD = 0;
    private static final int STAT_START_TIME_FIELD = 19;

    /**
     * Identity of a process; a later process with the same pid has a different identity.
     *
     * @param startTicks start time in clock ticks of the kernel since boot
     */
    public record ProcessIdentity(long pid, long startTicks) {}

    private OsProcesses() {}

    /** Launches the process of an instance in its folder and appends the output to the log file. */
    static ProcessIdentity launch(InstanceSpec instance, String token) throws IOException {
        Files.createDirectories(instance.folder());
        ProcessBuilder builder = new ProcessBuilder(instance.command())
                .redirectErrorStream(true)
                .directory(instance.folder().toFile())
                .redirectInput(ProcessBuilder.Redirect.from(NULL_DEVICE.toFile()))
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(instance.logFile().toFile()));
        builder.environment().putAll(instance.environment());
        builder.environment().put(TOKEN, token);
        long pid = builder.start().pid();
        return new ProcessIdentity(pid, startTicks(pid).orElse(UNKNOWN_START));
    }

    /** Returns the start time of the process, or empty if the process does not exist or is a zombie. */
    private static OptionalLong startTicks(long pid) {
        try {
            String stat = Files.readString(PROC.resolve(pid + "/stat"), StandardCharsets.ISO_8859_1);
            // The name is enclosed in parentheses and may contain any character.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            boolean isDead = fields[STAT_STATE_FIELD].equals("Z") || fields[STAT_STATE_FIELD].equals("X");
            return isDead ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(fields[STAT_START_TIME_FIELD]));
        } catch (IOException | IndexOutOfBoundsException | NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    static boolean isAlive(ProcessIdentity process) {
        OptionalLong ticks = startTicks(process.pid);
        return ticks.isPresent() && ticks.getAsLong() == process.startTicks;
    }

    /** Returns the running process that was launched with the token, or empty. */
    static Optional<ProcessIdentity> findByToken(String token) {
        String variable = TOKEN + "=" + token;
        try (Stream<Path> entries = Files.list(PROC)) {
            List<Path> processes = entries.filter(
                            path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList();
            for (Path process : processes) {
                long pid = Long.parseLong(process.getFileName().toString());
                if (hasVariable(process, variable)) {
                    OptionalLong ticks = startTicks(pid);
                    if (ticks.isPresent()) {
                        return Optional.of(new ProcessIdentity(pid, ticks.getAsLong()));
                    }
                }
            }
            return Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static boolean hasVariable(Path process, String variable) {
        try {
            String environment = Files.readString(process.resolve("environ"), StandardCharsets.ISO_8859_1);
            return Arrays.asList(environment.split("\0")).contains(variable);
        } catch (IOException e) {
            // The process belongs to another user or has exited.
            return false;
        }
    }

    /** Requests a graceful shutdown (SIGTERM). */
    static void terminate(ProcessIdentity process) {
        handle(process).ifPresent(ProcessHandle::destroy);
    }

    /** Kills the process (SIGKILL). */
    static void kill(ProcessIdentity process) {
        handle(process).ifPresent(ProcessHandle::destroyForcibly);
    }

    private static Optional<ProcessHandle> handle(ProcessIdentity process) {
        return isAlive(process) ? ProcessHandle.of(process.pid) : Optional.empty();
    }
}
