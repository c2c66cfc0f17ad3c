package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Optional;

/** Registers that get one value for the whole fleet and keep it for good, such as the result of an experiment. Event loop only. */
public interface WriteOnceRegisters {

    /**
     * Proposes a value. Does nothing unless this backend leads and is permitted to decide. The register is written once a majority of the
     * voters has the value on disk, and by then it may be the value of another leader: see {@link #chosen}.
     *
     * @throws IllegalArgumentException if the name or the value is not valid
     */
    void propose(Duration now, String name, byte[] value);

    /** The register's value, once this backend knows that it is written. */
    Optional<byte[]> chosen(String name);
}
