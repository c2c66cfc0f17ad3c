package merlinlever.dns.server;

import java.util.Arrays;

/** A map key that compares octets by content. */
record ByteArrayKey(byte[] octets) {
    @Override
    public boolean equals(Object other) {
        return other instanceof ByteArrayKey key && Arrays.equals(octets, key.octets);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(octets);
    }
}
