package merlinlever.replication;

import java.time.Duration;
import java.util.Optional;

/** Values that are written once for the whole fleet and never change: the end of a trial. */
public interface WriteOnceRegisters {

    /**
     * Proposes a value, as the leader; nothing is done where this one does not lead or may not decide. It is written once more
     * than half of the voters have it on their disks, and then it may be another leader's value: ask {@link #written}.
     */
    void propose(Duration now, String name, byte[] value);

    /** The value, once it is known here to be written. */
    Optional<byte[]> written(String name);
}
