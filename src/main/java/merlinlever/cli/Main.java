package merlinlever.cli;

import java.io.IOException;
import merlinlever.simulator.WireHost;

/**
 * Entry point of the program. Runs {@code serve} and {@code wirehost}, which the platform starts often, without loading
 * libraries.
 */
public final class Main {

    private Main() {}

    /** Runs the command given by the arguments and ends the process with its exit status. */
    public static void main(String[] arguments) throws IOException {
        System.exit(
                switch (arguments.length == 1 ? arguments[0] : "") {
                    case "wirehost" -> new WireHost(System.in, System.out, System.err).serve();
                    case "serve" -> ServeCommand.main(System.getenv());
                    default -> LibraryLauncher.run(arguments);
                });
    }
}
