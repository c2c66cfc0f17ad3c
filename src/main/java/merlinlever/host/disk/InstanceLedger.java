package merlinlever.host.disk;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
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
 * The durable record of which instances are desired and which process each has. A launch is recorded before it is made,
 * with a token that the new process carries in its environment, so that an agent that dies in between leaves a process
 * that its successor finds. The file is replaced as a whole ({@link StateDirectory#replace}); its first line is the CRC-32C
 * of the rest, which is JSON. Not thread-safe.
 */
public final class InstanceLedger implements Closeable {

    /** The name of the file in the state folder. */
    public static final String FILE_NAME = "instances";

    /**
     * The record of one instance.
     *
     * @param desired whether it is meant to run
     * @param token of its last launch, or empty
     * @param pid 0 before the launch is known to have been made
     * @param startTicks when the process began, in the kernel's clock ticks since boot: a reused pid has another value
     */
    public record InstanceRecord(
            @JsonProperty("wanted") boolean desired,
            @JsonProperty("token") String token,
            @JsonProperty("pid") long pid,
            @JsonProperty("startTicks") long startTicks) {
        /** The record of an instance that was never recorded. */
        public static final InstanceRecord NONE = new InstanceRecord(false, "", 0, 0);

        /** The record of a launch that is about to be made. */
        public static InstanceRecord launching(String token) {
            return new InstanceRecord(true, token, 0, 0);
        }

        /** This record with another desired state. */
        public InstanceRecord withDesired(boolean isDesired) {
            return new InstanceRecord(isDesired, token, pid, startTicks);
        }

        /** This record with the process that is known now. */
        public InstanceRecord withProcess(long processId, long processStartTicks) {
            return new InstanceRecord(desired, token, processId, processStartTicks);
        }
    }

    /** The file in the folder is not one that an agent wrote; the message is for the operator. */
    public static final class CorruptLedgerException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptLedgerException(String message) {
            super(message);
        }

        CorruptLedgerException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private final StateDirectory folder;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, InstanceRecord> records = new LinkedHashMap<>();

    /** Opens the ledger of a folder on disk. */
    public InstanceLedger(Path folder) throws IOException, CorruptLedgerException {
        this(StateDirectories.open(folder, Map.of()));
    }

    /** Opens the ledger of a folder, which is closed with it, or at once if the ledger cannot be read. */
    public InstanceLedger(StateDirectory folder) throws IOException, CorruptLedgerException {
        this.folder = folder;
        try {
            if (folder.exists(FILE_NAME)) {
                parse(folder.read(FILE_NAME));
            }
        } catch (IOException | CorruptLedgerException e) {
            folder.close();
            throw e;
        }
    }

    private void parse(byte[] file) throws CorruptLedgerException {
        if (file.length > MAX_BYTES) {
            throw new CorruptLedgerException(FILE_NAME + ": over " + MAX_BYTES + " octets");
        }
        String text = new String(file, StandardCharsets.ISO_8859_1);
        int firstLineEnd = text.indexOf('\n');
        byte[] body = text.substring(firstLineEnd + 1).getBytes(StandardCharsets.ISO_8859_1);
        if (firstLineEnd < 0 || !text.substring(0, firstLineEnd).equals(checksum(body))) {
            throw new CorruptLedgerException(
                    FILE_NAME + ": spoilt; running instances are found by their environment if the file is moved away, "
                            + "but which are wanted has then to be said again");
        }
        try {
            for (Map.Entry<String, JsonNode> entry : json.readTree(body).properties()) {
                records.put(entry.getKey(), parseRecord(entry.getValue()));
            }
        } catch (JsonProcessingException e) {
            throw new CorruptLedgerException(FILE_NAME + ": is not what an agent writes", e);
        } catch (IOException e) {
            throw new CorruptLedgerException(FILE_NAME + ": cannot be read: " + e.getMessage(), e);
        }
    }

    private static InstanceRecord parseRecord(JsonNode node) {
        return new InstanceRecord(
                node.path("wanted").asBoolean(),
                node.path("token").asText(),
                node.path("pid").asLong(),
                node.path("startTicks").asLong());
    }

    private static String checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }

    /** The names of all instances that have a record. */
    public List<String> names() {
        return List.copyOf(records.keySet());
    }

    /** The record of the instance, {@link InstanceRecord#NONE} if it has none. */
    public InstanceRecord recordOf(String instance) {
        return records.getOrDefault(instance, InstanceRecord.NONE);
    }

    /** Replaces the record of the instance. Returns when it is on the disk; after a failure the old record stands. */
    public void update(String instance, InstanceRecord updated) throws IOException {
        InstanceRecord before = records.put(instance, updated);
        try {
            folder.replace(FILE_NAME, serialize());
        } catch (IOException e) {
            if (before == null) {
                records.remove(instance);
            } else {
                records.put(instance, before);
            }
            throw e;
        }
    }

    private byte[] serialize() throws IOException {
        byte[] body = json.writeValueAsBytes(records);
        String text = checksum(body) + "\n" + new String(body, StandardCharsets.ISO_8859_1);
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }
}
