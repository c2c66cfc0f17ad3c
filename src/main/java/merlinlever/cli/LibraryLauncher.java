package merlinlever.cli;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs the commands that need libraries in a class loader that has the libraries of the folder {@code lib} beside the program's jar.
 * Were they named in the manifest instead, each would be opened for {@code serve} as well and take one of its few file descriptors.
 */
final class LibraryLauncher {

    private static final String COMMANDS_CLASS = "merlinlever.cli.Commands";

    private LibraryLauncher() {}

    /** Runs what the arguments name and returns the exit status. */
    static int run(String... arguments) throws IOException {
        Path program = programPath();
        Path libraries = program.resolveSibling("lib");
        if (!Files.isRegularFile(program) || !Files.isDirectory(libraries)) {
            // Not started from the jar: the libraries are on the class path.
            return Commands.start(arguments);
        }
        ClassLoader loader =
                new URLClassLoader("merlinlever", classPath(program, libraries), ClassLoader.getPlatformClassLoader());
        Thread.currentThread().setContextClassLoader(loader);
        try {
            Class<?> commands = Class.forName(COMMANDS_CLASS, true, loader);
            return (int) commands.getDeclaredMethod("start", String[].class).invoke(null, (Object) arguments);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Path programPath() {
        String path = LibraryLauncher.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        return Path.of(new File(path).getPath());
    }

    private static URL[] classPath(Path program, Path libraries) throws IOException {
        List<URL> urls = new ArrayList<>();
        urls.add(program.toUri().toURL());
        try (Stream<Path> files = Files.list(libraries)) {
            for (Path jar : files.filter(path -> path.toString().endsWith(".jar"))
                    .sorted()
                    .toList()) {
                urls.add(jar.toUri().toURL());
            }
        }
        return urls.toArray(new URL[0]);
    }
}
