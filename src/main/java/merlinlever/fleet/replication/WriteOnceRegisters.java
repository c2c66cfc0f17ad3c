package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Optional;

/**
 * Registers that are written once for the whole fleet, for example with the result of an experiment. Must be used on
 * the event loop only.
 */
public interface WriteOnceRegisters {

    /**
     * Proposes a value. Does nothing unless this backend is the leader and is permitted to decide. The register is
     * written once a majority of the voters has the same value on disk, possibly the value of another leader: see
     * {@link #chosen}.
     *
     * @throws IllegalArgumentException if the name or the value is invalid
     */
    void propose(Duration now, String name, byte[] value);

    /** Returns the register's value, or empty until this backend has learned it. */
    Optional<byte[]> chosen(String name);
}
