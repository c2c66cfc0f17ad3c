package merlinlever.common.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Socket addresses as text, {@code ADDRESS:PORT} with an IPv6 address in brackets. Host names are not accepted. */
public final class SocketAddresses {

    private static final String NUMERIC_HOST = "\\[[0-9a-fA-F:.]+\\]|[0-9.]+";
    private static final int MAX_PORT = 0xffff;

    private SocketAddresses() {}

    /** The address that the text stands for, port 0 included; empty where it is none. */
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

    /** The text that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
