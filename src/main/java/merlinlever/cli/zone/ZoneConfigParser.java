package merlinlever.cli.zone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import merlinlever.config.ConfigFile;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.record.MalformedDnsException;
import merlinlever.zone.wire.Tsig;

/** Addresses, names and keys as they are written in configurations and arguments. */
final class ZoneConfigParser {

    private static final int MOST_SECRET = 4096;

    private ZoneConfigParser() {}

    /** HOST:PORT with an address as HOST; names are not looked up. */
    static InetSocketAddress address(String text) throws MalformedDnsException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("\\[[0-9a-fA-F:.]+\\]|[0-9]+(\\.[0-9]+){3}")
                || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new MalformedDnsException("expected ADDRESS:PORT, found " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        try {
            if (port <= 0xffff) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (UnknownHostException e) {
            // Told below.
        }
        throw new MalformedDnsException("expected ADDRESS:PORT, found " + text);
    }

    static InetSocketAddress address(ConfigFile sheet, String path) throws ConfigFile.InvalidConfigFileException {
        try {
            return address(sheet.text(path, ""));
        } catch (MalformedDnsException e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    static byte[] name(ConfigFile sheet, String path) throws ConfigFile.InvalidConfigFileException {
        try {
            return DomainNames.absolute(sheet.text(path, ""));
        } catch (MalformedDnsException e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    /** A key from its name and the file that holds its secret in base64. */
    static Tsig.TsigKey key(String name, String algorithm, Path secret) throws MalformedDnsException {
        try {
            if (!Files.isRegularFile(secret) || Files.size(secret) > MOST_SECRET) {
                throw new MalformedDnsException(
                        secret + (Files.exists(secret) ? " is not a file with a secret" : ": no such file"));
            }
            return new Tsig.TsigKey(
                    DomainNames.absolute(name),
                    algorithm,
                    Base64.getMimeDecoder().decode(Files.readString(secret).strip()));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedDnsException(secret + " holds no secret in base64");
        }
    }

    static Tsig.TsigKey key(ConfigFile sheet, String path) throws ConfigFile.InvalidConfigFileException {
        try {
            return key(
                    sheet.text(path + ".name", ""),
                    sheet.text(path + ".algorithm", "hmac-sha256"),
                    sheet.path(path + ".secret-file", ""));
        } catch (MalformedDnsException e) {
            throw sheet.fault(path, e.getMessage());
        }
    }

    static long seed(ConfigFile sheet) {
        return Long.parseUnsignedLong(sheet.text("seed", Long.toHexString(System.nanoTime())), 16);
    }
}
