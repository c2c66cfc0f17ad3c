package merlinlever.host.disk;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import merlinlever.common.storage.StateDirectories;
import merlinlever.common.storage.StateDirectory;

/**
 * Which instances are wanted, and which process each has. A launch is noted before it is made, with a token that the new
 * process carries in its environment: whoever dies between the two leaves something that can be found. The file is
 * replaced whole ({@link StateDirectory#replace}); its first line is the CRC-32C of the rest.
 */
public final class InstanceLedger implements Closeable {

    /**
     * What is noted of one instance.
     *
     * @param token of its last launch, or empty
     * @param pid 0 before the launch is known to have been made
     * @param startTicks when the process began, by the kernel's count, which a reused pid does not share
     */
    public record InstanceRecord(
            @JsonProperty("wanted") boolean wanted,
            @JsonProperty("token") String token,
            @JsonProperty("pid") long pid,
            @JsonProperty("startTicks") long startTicks) {
        public static final InstanceRecord NOTHING = new InstanceRecord(false, "", 0, 0);
    }

    /** The folder's file is not what was written; the message is for the operator. */
    public static final class CorruptLedgerException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptLedgerException(String message) {
            super(message);
        }
    }

    private static final int MOST = 4 << 20;
    private static final String FILE = "instances";

    private final StateDirectory folder;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, InstanceRecord> noted = new LinkedHashMap<>();

    /** On disk, as nobody records it. */
    public InstanceLedger(Path folder) throws IOException, CorruptLedgerException {
        this(StateDirectories.open(folder, Map.of()));
    }

    /** Held until the ledger is closed; closed with it, and at once where it cannot be read. */
    public InstanceLedger(StateDirectory folder) throws IOException, CorruptLedgerException {
        this.folder = folder;
        try {
            if (folder.exists(FILE)) {
                read(folder.read(FILE));
            }
        } catch (IOException | CorruptLedgerException e) {
            folder.close();
            throw e;
        }
    }

    private void read(byte[] octets) throws CorruptLedgerException {
        if (octets.length > MOST) {
            throw new CorruptLedgerException(FILE + ": over " + MOST + " octets");
        }
        String text = new String(octets, StandardCharsets.ISO_8859_1);
        int end = text.indexOf('\n');
        byte[] rest = text.substring(end + 1).getBytes(StandardCharsets.ISO_8859_1);
        try {
            if (end < 0 || !text.substring(0, end).equals(sum(rest))) {
                throw new CorruptLedgerException(
                        FILE + ": spoilt; running instances are found by their environment if the file is moved away, "
                                + "but which are wanted has then to be said again");
            }
            for (Map.Entry<String, com.fasterxml.jackson.databind.JsonNode> entry :
                    json.readTree(rest).properties()) {
                com.fasterxml.jackson.databind.JsonNode one = entry.getValue();
                noted.put(
                        entry.getKey(),
                        new InstanceRecord(
                                one.path("wanted").asBoolean(),
                                one.path("token").asText(),
                                one.path("pid").asLong(),
                                one.path("startTicks").asLong()));
            }
        } catch (JsonProcessingException e) {
            throw new CorruptLedgerException(FILE + ": is not what an agent writes");
        } catch (java.io.IOException e) {
            throw new CorruptLedgerException(FILE + ": cannot be read: " + e.getMessage());
        }
    }

    private static String sum(byte[] rest) {
        CRC32C crc = new CRC32C();
        crc.update(rest);
        return String.format("%08x", crc.getValue());
    }

    /** Of all instances that something is noted of. */
    public List<String> names() {
        return List.copyOf(noted.keySet());
    }

    public InstanceRecord of(String instance) {
        return noted.getOrDefault(instance, InstanceRecord.NOTHING);
    }

    /** Notes it; returns when it is on the disk. After a failure what was noted before stands. */
    public void note(String instance, InstanceRecord what) throws IOException {
        InstanceRecord before = noted.put(instance, what);
        try {
            byte[] rest = json.writeValueAsBytes(noted);
            folder.replace(
                    FILE,
                    (sum(rest) + "\n" + new String(rest, StandardCharsets.ISO_8859_1))
                            .getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            if (before == null) {
                noted.remove(instance);
            } else {
                noted.put(instance, before);
            }
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }
}
