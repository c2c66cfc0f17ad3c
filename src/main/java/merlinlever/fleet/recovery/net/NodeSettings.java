package merlinlever.fleet.recovery.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * How a process takes part in the membership of its fleet.
 *
 * @param name its name, which no other process of the fleet has
 * @param listenAddress where it listens for datagrams
 * @param advertisedAddress the address that its peers are told; empty for the one that it listens at
 * @param apiAddress where it takes commands, told to its peers; {@code -} if nowhere
 * @param seedAddresses where some of its peers listen
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
     * Names the process that owns a state directory. A port that the system chose at the start is left out, as it says
     * nothing of whose the directory is.
     */
    String owner(String gossipAddress) {
        boolean hasFixedAddress = advertisedAddress.isPresent() || listenAddress.getPort() != 0;
        return name + "@"
                + (hasFixedAddress ? gossipAddress : listenAddress.getAddress().getHostAddress());
    }

    /** The record is not to print the secret. */
    @Override
    public String toString() {
        return "NodeSettings[name=" + name + ", listenAddress=" + listenAddress + "]";
    }
}
