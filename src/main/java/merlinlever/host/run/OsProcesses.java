package merlinlever.host.run;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Processes by pid and start time, as the kernel tells them under /proc. */
public final class OsProcesses {

    /** The variable by which a process is known as launched here. */
    public static final String TOKEN = "MERLINLEVER_LAUNCH";

    /** A process that cannot be taken for a later one with its pid. */
    public record ProcessIdentity(long pid, long startTicks) {}

    private OsProcesses() {}

    /** Starts a command; its output goes to the end of the file. */
    static ProcessIdentity launch(
            List<String> command, Map<String, String> environment, String token, Path folder, Path log)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .directory(folder.toFile())
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        builder.environment().put(TOKEN, token);
        Process process = builder.start();
        Long ticks = startTicks(process.pid());
        // One that has ended already is known by a time that no process has.
        return new ProcessIdentity(process.pid(), ticks == null ? -1 : ticks);
    }

    /** When the process began, or null where there is none of that pid, or it is a dead one that nobody has waited for. */
    static Long startTicks(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1);
            // The name in parentheses may hold anything; behind it the state is the third field, the start the 22nd.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return fields[0].equals("Z") || fields[0].equals("X") ? null : Long.valueOf(fields[19]);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    static boolean alive(ProcessIdentity process) {
        Long ticks = startTicks(process.pid);
        return ticks != null && ticks == process.startTicks;
    }

    /** The process that carries the token, or null. */
    static ProcessIdentity byToken(String token) {
        String wanted = TOKEN + "=" + token;
        try (Stream<Path> all = Files.list(Path.of("/proc"))) {
            for (Path each : all.filter(path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList()) {
                try {
                    String environment =
                            new String(Files.readAllBytes(each.resolve("environ")), StandardCharsets.ISO_8859_1);
                    for (String variable : environment.split("\0")) {
                        if (variable.equals(wanted)) {
                            long pid = Long.parseLong(each.getFileName().toString());
                            Long ticks = startTicks(pid);
                            if (ticks != null) {
                                return new ProcessIdentity(pid, ticks);
                            }
                        }
                    }
                } catch (IOException e) {
                    // Not ours to read, or gone meanwhile.
                }
            }
        } catch (IOException e) {
            return null;
        }
        return null;
    }

    /** Asks it to leave, or kills it; false where it is not there any more. */
    static boolean signal(ProcessIdentity process, boolean kill) {
        Optional<ProcessHandle> handle = alive(process) ? ProcessHandle.of(process.pid) : Optional.empty();
        return handle.isPresent()
                && (kill ? handle.get().destroyForcibly() : handle.get().destroy());
    }
}
