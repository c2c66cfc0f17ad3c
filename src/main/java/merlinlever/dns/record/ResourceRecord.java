package merlinlever.dns.record;

import java.util.Arrays;

/**
 * A resource record of class IN.
 *
 * @param owner the owner name on the wire, in lower case
 * @param ttl the time to live in seconds, 0 to 2^31 - 1 (RFC 2181 section 8)
 * @param data the data in wire form, with names uncompressed and in lower case
 */
public record ResourceRecord(byte[] owner, int type, long ttl, byte[] data) {

    /** Maximum time to live in seconds. */
    public static final long MAX_TTL_SECONDS = Integer.MAX_VALUE;

    @Override
    public boolean equals(Object other) {
        return other instanceof ResourceRecord rec
                && type == rec.type
                && ttl == rec.ttl
                && Arrays.equals(owner, rec.owner)
                && Arrays.equals(data, rec.data);
    }

    @Override
    public int hashCode() {
        return (Arrays.hashCode(owner) * 31 + type) * 31 + Arrays.hashCode(data);
    }

    /** Returns the record in zone file syntax. */
    @Override
    public String toString() {
        return DomainNames.text(owner) + " " + ttl + " IN " + RecordTypes.text(type) + " " + Rdata.text(type, data);
    }
}
