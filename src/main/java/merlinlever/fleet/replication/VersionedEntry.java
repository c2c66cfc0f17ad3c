package merlinlever.fleet.replication;

/**
 * A value of the replicated store with its version. A higher version, compared by incarnation and then by sequence,
 * replaces a lower one, so entries can be merged in any order and any number of times.
 *
 * @param owner the backend, or the partner site, that wrote the value
 * @param topic 1 to 40 printable ASCII characters without spaces
 * @param incarnation incarnation of the owner's process, at least 0
 * @param sequence sequence number of the owner's write, at least 0
 * @param value the value, of at most {@value #MAX_VALUE_BYTES} bytes; null if the owner removed the entry
 */
public record VersionedEntry(String owner, String topic, long incarnation, long sequence, byte[] value) {

    /** Maximum size of a value. */
    public static final int MAX_VALUE_BYTES = 16 << 10;

    /** Whether this version is higher than the version of another entry of the same owner and topic. */
    public boolean isNewerThan(VersionedEntry other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }
}
