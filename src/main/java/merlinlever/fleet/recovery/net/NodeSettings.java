package merlinlever.fleet.recovery.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a process for the membership of its fleet.
 *
 * @param name name of the process, unique in the fleet
 * @param listenAddress address on which the process receives datagrams
 * @param advertisedAddress address for peers to send datagrams to; empty for the listen address
 * @param apiAddress address of the command interface, announced to peers; {@code -} for a process without one
 * @param seedAddresses addresses of some peers
 * @param secret the secret that authenticates datagrams, the same in the whole fleet
 */
public record NodeSettings(
        String name,
        InetSocketAddress listenAddress,
        Optional<String> advertisedAddress,
        String apiAddress,
        List<String> seedAddresses,
        String secret) {

    /** Copies the addresses. */
    public NodeSettings {
        seedAddresses = List.copyOf(seedAddresses);
    }

    /**
     * Returns the identity of this process as the owner of a state directory. A port chosen by the operating system is
     * left out, as it changes with every start.
     */
    String owner(String gossipAddress) {
        boolean hasFixedAddress = advertisedAddress.isPresent() || listenAddress.getPort() != 0;
        return name + "@"
                + (hasFixedAddress ? gossipAddress : listenAddress.getAddress().getHostAddress());
    }

    /** Leaves out the secret. */
    @Override
    public String toString() {
        return "NodeSettings[name=" + name + ", listenAddress=" + listenAddress + "]";
    }
}
