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
 * Runs commands that need libraries in a class loader with the jars of the directory {@code lib} beside the program's
 * jar. If the manifest listed these jars, the JVM would open each of them for {@code serve} too and use up its few file
 * descriptors.
 */
final class LibraryLauncher {

    private static final String COMMANDS_CLASS = "merlinlever.cli.Commands";

    private LibraryLauncher() {}

    /** Runs the command given by the arguments and returns its exit status. */
    static int run(String... arguments) throws IOException {
        Path program = programPath();
        Path libraries = program.resolveSibling("lib");
        if (!Files.isRegularFile(program) || !Files.isDirectory(libraries)) {
            // The program was not started from its jar, so the class path contains the libraries.
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
