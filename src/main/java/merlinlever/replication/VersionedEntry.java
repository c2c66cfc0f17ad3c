package merlinlever.replication;

/**
 * All that one owner says on one topic at one time. Of two the later by incarnation and then sequence counts, whole; so they
 * merge alike in any order and any number of times.
 *
 * @param owner a backend, or a partner site whose word is passed on
 * @param topic 1 to 40 printable octets without spaces
 * @param value 16 KiB at the most; null where the owner took it back
 */
public record VersionedEntry(String owner, String topic, long incarnation, long sequence, byte[] value) {

    public static final int MOST_OCTETS = 16 << 10;

    /** Whether it comes after the other of the same owner and topic. */
    public boolean after(VersionedEntry other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }
}
