package merlinlever.fleet.replication;

/**
 * One value of the replicated store, under the version its owner gave it. The higher version, by incarnation and then by sequence,
 * replaces the lower one as a whole, so entries can be merged in any order and any number of times.
 *
 * @param owner the backend, or the partner site, that wrote the value
 * @param topic 1 to 40 printable ASCII characters without spaces
 * @param incarnation of the owner's process, at least 0
 * @param sequence counts the owner's writes, at least 0
 * @param value {@value #MAX_VALUE_BYTES} bytes at most; null if the owner removed the entry
 */
public record VersionedEntry(String owner, String topic, long incarnation, long sequence, byte[] value) {

    /** The largest value. */
    public static final int MAX_VALUE_BYTES = 16 << 10;

    /** Whether this version is higher than that of another entry of the same owner and topic. */
    public boolean isNewerThan(VersionedEntry other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }
}
