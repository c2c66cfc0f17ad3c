package merlinlever.cli.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.common.net.SocketAddresses;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.wire.Tsig;

/** Reads addresses, domain names and TSIG keys from configuration files and arguments. */
final class ZoneConfigParser {

    /** Shorthand forms such as {@code 127.1} are refused. */
    private static final String FULL_ADDRESS = "(\\[[0-9a-fA-F:.]+\\]|[0-9]+(\\.[0-9]+){3}):.*";

    private static final int MAX_SECRET_FILE_BYTES = 4096;

    private ZoneConfigParser() {}

    /** {@code ADDRESS:PORT}; host names are not looked up. */
    static InetSocketAddress address(String text) throws MalformedDnsException {
        return SocketAddresses.parse(text)
                .filter(address -> text.matches(FULL_ADDRESS))
                .orElseThrow(() -> new MalformedDnsException("expected ADDRESS:PORT, found " + text));
    }

    static InetSocketAddress address(ConfigFile config, String path) throws InvalidConfigFileException {
        try {
            return address(config.text(path, ""));
        } catch (MalformedDnsException e) {
            throw config.invalidValue(path, e.getMessage(), e);
        }
    }

    /** A domain name on the wire, in lower case. */
    static byte[] domainName(ConfigFile config, String path) throws InvalidConfigFileException {
        try {
            return DomainNames.absolute(config.text(path, ""));
        } catch (MalformedDnsException e) {
            throw config.invalidValue(path, e.getMessage(), e);
        }
    }

    /** A key from its name and the file that holds its secret in base64. */
    static Tsig.TsigKey key(String name, String algorithm, Path secretFile) throws MalformedDnsException {
        try {
            if (!Files.isRegularFile(secretFile) || Files.size(secretFile) > MAX_SECRET_FILE_BYTES) {
                String reason = Files.exists(secretFile) ? " is not a file with a secret" : ": no such file";
                throw new MalformedDnsException(secretFile + reason);
            }
            byte[] secret =
                    Base64.getMimeDecoder().decode(Files.readString(secretFile).strip());
            return new Tsig.TsigKey(DomainNames.absolute(name), algorithm, secret);
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedDnsException(secretFile + " holds no secret in base64");
        }
    }

    static Tsig.TsigKey key(ConfigFile config, String path) throws InvalidConfigFileException {
        try {
            return key(
                    config.text(path + ".name", ""),
                    config.text(path + ".algorithm", "hmac-sha256"),
                    config.path(path + ".secret-file", ""));
        } catch (MalformedDnsException e) {
            throw config.invalidValue(path, e.getMessage(), e);
        }
    }

    /** The seed of random numbers, one made of the clock where none is configured. */
    static long seed(ConfigFile config) {
        return Long.parseUnsignedLong(config.text("seed", Long.toHexString(System.nanoTime())), 16);
    }
}
