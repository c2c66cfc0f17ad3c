package merlinlever.cli;

import java.io.IOException;
import merlinlever.wire.WireHost;

/** Entry point of the program. The two commands that the platform starts often never load what they do not use. */
public final class Main {

    private Main() {}

    public static void main(String[] args) throws IOException {
        System.exit(
                switch (args.length == 1 ? args[0] : "") {
                    case "wirehost" -> new WireHost(System.in, System.out, System.err).serve();
                    case "serve" -> ServeCommand.main(System.getenv());
                    default -> LibraryLauncher.run(args);
                });
    }
}
