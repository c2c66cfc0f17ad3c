package merlinlever.cli;

import java.io.IOException;
import merlinlever.wire.WireHost;

/** Entry point of the program. */
public final class Main {

    private static final String USAGE = """
            usage: java -jar merlinlever.jar SUBCOMMAND
              wirehost   host decision modules on the bench's wire (standard input and output)""";

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        System.exit(new WireHost(System.in, System.out, System.err).serve());
    }
}
