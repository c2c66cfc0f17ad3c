package merlinlever.cli.zone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import merlinlever.sheet.Sheet;
import merlinlever.zone.record.Malformed;
import merlinlever.zone.record.Names;
import merlinlever.zone.wire.Tsig;

/** Addresses, names and keys as they are written in configurations and arguments. */
final class Given {

    private static final int MOST_SECRET = 4096;

    private Given() {}

    /** HOST:PORT with an address as HOST; names are not looked up. */
    static InetSocketAddress address(String text) throws Malformed {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("\\[[0-9a-fA-F:.]+\\]|[0-9]+(\\.[0-9]+){3}")
                || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new Malformed("expected ADDRESS:PORT, found " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        try {
            if (port <= 0xffff) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (UnknownHostException e) {
            // Told below.
        }
        throw new Malformed("expected ADDRESS:PORT, found " + text);
    }

    static InetSocketAddress address(Sheet sheet, String path) throws Sheet.Unusable {
        try {
            return address(sheet.text(path, ""));
        } catch (Malformed e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    static byte[] name(Sheet sheet, String path) throws Sheet.Unusable {
        try {
            return Names.absolute(sheet.text(path, ""));
        } catch (Malformed e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    /** A key from its name and the file that holds its secret in base64. */
    static Tsig.Key key(String name, String algorithm, Path secret) throws Malformed {
        try {
            if (!Files.isRegularFile(secret) || Files.size(secret) > MOST_SECRET) {
                throw new Malformed(
                        secret + (Files.exists(secret) ? " is not a file with a secret" : ": no such file"));
            }
            return new Tsig.Key(
                    Names.absolute(name),
                    algorithm,
                    Base64.getMimeDecoder().decode(Files.readString(secret).strip()));
        } catch (IOException | IllegalArgumentException e) {
            throw new Malformed(secret + " holds no secret in base64");
        }
    }

    static Tsig.Key key(Sheet sheet, String path) throws Sheet.Unusable {
        try {
            return key(
                    sheet.text(path + ".name", ""),
                    sheet.text(path + ".algorithm", "hmac-sha256"),
                    sheet.path(path + ".secret-file", ""));
        } catch (Malformed e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    static long seed(Sheet sheet) {
        return Long.parseUnsignedLong(sheet.text("seed", Long.toHexString(System.nanoTime())), 16);
    }
}
