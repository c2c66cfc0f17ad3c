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
 * Starts the commands that need libraries with those in the folder {@code lib} beside the program's jar. Named in the
 * manifest instead, each of them would be opened for {@code serve} as well and take a descriptor of its limit.
 */
final class LibraryLauncher {

    private LibraryLauncher() {}

    static int run(String... args) throws IOException {
        Path self = Path.of(new File(LibraryLauncher.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .getPath());
        Path beside = self.resolveSibling("lib");
        if (!Files.isRegularFile(self) || !Files.isDirectory(beside)) {
            // Not started from the jar: they are on the class path.
            return Commands.start(args);
        }
        List<URL> jars = new ArrayList<>();
        jars.add(self.toUri().toURL());
        try (Stream<Path> found = Files.list(beside)) {
            for (Path jar : found.filter(path -> path.toString().endsWith(".jar"))
                    .sorted()
                    .toList()) {
                jars.add(jar.toUri().toURL());
            }
        }
        ClassLoader loader =
                new URLClassLoader("merlinlever", jars.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
        Thread.currentThread().setContextClassLoader(loader);
        try {
            Class<?> commands = Class.forName("merlinlever.cli.Commands", true, loader);
            return (int) commands.getDeclaredMethod("start", String[].class).invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
