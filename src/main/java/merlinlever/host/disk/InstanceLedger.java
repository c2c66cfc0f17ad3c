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
 * Durable ledger with the desired state and the process of each instance. The agent records each launch in advance,
 * with a token that the new process carries in its environment. If the agent crashes before it records the pid, the
 * next agent finds the process by the token. Each update replaces the whole file ({@link StateDirectory#replace}): the
 * first line is the CRC-32C of the remaining content, which is JSON. Not thread-safe.
 */
public final class InstanceLedger implements Closeable {

    /** Name of the ledger file in the state folder. */
    public static final String FILE_NAME = "instances";

    /**
     * Record of one instance.
     *
     * @param desired whether the desired state of the instance is running
     * @param token token of the last launch, or empty
     * @param pid process id, or 0 before the launch was confirmed
     * @param startTicks start time of the process in kernel clock ticks since boot, which distinguishes reused pids
     */
    public record InstanceRecord(
            @JsonProperty("wanted") boolean desired,
            @JsonProperty("token") String token,
            @JsonProperty("pid") long pid,
            @JsonProperty("startTicks") long startTicks) {
        /** Default record of an instance without an entry in the ledger. */
        public static final InstanceRecord NONE = new InstanceRecord(false, "", 0, 0);

        /** Returns the record of a launch that has not been confirmed yet. */
        public static InstanceRecord launching(String token) {
            return new InstanceRecord(true, token, 0, 0);
        }

        /** Returns a copy with the given desired state. */
        public InstanceRecord withDesired(boolean isDesired) {
            return new InstanceRecord(isDesired, token, pid, startTicks);
        }

        /** Returns a copy with the given process. */
        public InstanceRecord withProcess(long processId, long processStartTicks) {
            return new InstanceRecord(desired, token, processId, processStartTicks);
        }
    }

    /** Thrown if the ledger file is invalid; the message is for the operator. */
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

    /** Opens the ledger in a folder on disk. */
    public InstanceLedger(Path folder) throws IOException, CorruptLedgerException {
        this(StateDirectories.open(folder, Map.of()));
    }

    /**
     * Opens the ledger in a folder. The folder is closed with the ledger, or immediately if the ledger cannot be read.
     */
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
            throw new CorruptLedgerException(FILE_NAME + ": corrupt: longer than " + MAX_BYTES + " bytes");
        }
        String text = new String(file, StandardCharsets.ISO_8859_1);
        int firstLineEnd = text.indexOf('\n');
        byte[] body = text.substring(firstLineEnd + 1).getBytes(StandardCharsets.ISO_8859_1);
        if (firstLineEnd < 0 || !text.substring(0, firstLineEnd).equals(checksum(body))) {
            throw new CorruptLedgerException(FILE_NAME
                    + ": corrupt: the checksum does not match the content; without the file, the agent finds running "
                    + "instances by their environment, but the instances to run must be ordered again");
        }
        try {
            for (Map.Entry<String, JsonNode> entry : json.readTree(body).properties()) {
                records.put(entry.getKey(), parseRecord(entry.getValue()));
            }
        } catch (JsonProcessingException e) {
            throw new CorruptLedgerException(FILE_NAME + ": corrupt: the content is not valid JSON", e);
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

    /** Returns the names of all recorded instances. */
    public List<String> names() {
        return List.copyOf(records.keySet());
    }

    /** Returns the record of the instance, or {@link InstanceRecord#NONE}. */
    public InstanceRecord recordOf(String instance) {
        return records.getOrDefault(instance, InstanceRecord.NONE);
    }

    /**
     * Replaces the record of the instance. Returns when the record is on disk; after a failure the old record is kept.
     */
    public void update(String instance, InstanceRecord updated) throws IOException {
        InstanceRecord previous = records.put(instance, updated);
        try {
            folder.replace(FILE_NAME, serialize());
        } catch (IOException e) {
            if (previous == null) {
                records.remove(instance);
            } else {
                records.put(instance, previous);
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
