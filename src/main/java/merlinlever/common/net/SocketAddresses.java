package merlinlever.common.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses and formats socket addresses as {@code ADDRESS:PORT}, with IPv6 addresses in brackets, without host names. */
public final class SocketAddresses {

    private static final String NUMERIC_HOST = "\\[[0-9a-fA-F:.]+\\]|[0-9.]+";
    private static final int MAX_PORT = 0xffff;

    private SocketAddresses() {}

    /** Parses an address, whose port may be 0; returns empty if the text is not a valid address. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!host.matches(NUMERIC_HOST) || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port)));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
