package merlinlever.cli;

import java.io.IOException;
import merlinlever.wire.WireHost;

/** Entry point of the program. */
public final class Main {

    private static final String USAGE = """
            usage: java -jar merlinlever.jar SUBCOMMAND
              wirehost   host decision modules on the bench's wire (standard input and output)
              serve      serve as one real backend, told by the file that GW_CONFIG names""";

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        System.exit(switch (args.length == 1 ? args[0] : "") {
            case "wirehost" -> new WireHost(System.in, System.out, System.err).serve();
            case "serve" -> Serve.main(System.getenv());
            default -> {
                System.err.println(USAGE);
                yield 2;
            }
        });
    }
}
