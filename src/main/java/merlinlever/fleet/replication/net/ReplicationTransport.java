package merlinlever.fleet.replication.net;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.common.storage.BackgroundWriter;
import merlinlever.common.storage.StateDirectory;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.PayloadHandler;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.fleet.replication.OutgoingMessage;
import merlinlever.fleet.replication.PaxosNode;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.disk.EntryFile;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;

/**
 * Runs one backend's replicated store and write-once registers on the event loop, over the membership protocol's
 * datagrams, and persists both. The first byte of each payload is its type. While the disk fails, writes are retried,
 * and this backend neither publishes new entries nor votes.
 */
public final class ReplicationTransport implements PayloadHandler {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);
    private static final String ENTRY_FILE = "words";
    private static final String REGISTER_FILE = "registers";

    /** Payload types, encoded as the first byte of a payload. */
    private static final byte STORE_PAYLOAD = 'w';

    private static final byte REGISTERS_PAYLOAD = 'r';

    private final EventLoop loop;
    private final RecoveryCoordinator recovery;
    private final FleetView view;
    private final EventLog log;
    private final BackgroundWriter writer;
    private final ReplicatedStore store;
    private final PaxosNode registers;
    private final String self;
    private Duration nextWrite = Duration.ZERO;
    private boolean diskFailing;
    private boolean recovering;

    /**
     * Reads the state files and starts ticking.
     *
     * @param directory the directory of the state files, open and not used by other components
     * @param log receives a line for each event that an operator may need
     * @throws IOException if a state file cannot be read; a corrupt one is discarded and logged
     */
    public ReplicationTransport(
            EventLoop loop,
            RecoveryCoordinator recovery,
            StateDirectory directory,
            ReplicatedStore.ReplicationSettings settings,
            Leadership leadership,
            FleetView view,
            long seed,
            EventLog log)
            throws IOException {
        this.loop = loop;
        this.recovery = recovery;
        this.view = view;
        this.log = log;
        self = recovery.membership().memberTable().self();
        writer = new BackgroundWriter(directory, loop, "replication-writer");
        SplittableRandom random = new SplittableRandom(seed);
        Duration now = loop.clock().uptime();
        store = new ReplicatedStore(
                now,
                self,
                recovery.membership().memberTable().ownRecord().incarnation(),
                readEntries(directory),
                settings,
                this::livePeers,
                random.split(),
                log);
        registers = new PaxosNode(
                now, self, readFile(directory, REGISTER_FILE), leadership, view, this::livePeers, random.split(), log);
        recovery.membership().addPayloadHandler(this);
        loop.runNowAndEvery(TICK_INTERVAL, this::tick);
    }

    private static Optional<byte[]> readFile(StateDirectory directory, String name) throws IOException {
        return directory.exists(name) ? Optional.of(directory.read(name)) : Optional.empty();
    }

    private ReplicatedStore.PersistedEntries readEntries(StateDirectory directory) throws IOException {
        Optional<byte[]> file = readFile(directory, ENTRY_FILE);
        if (file.isEmpty()) {
            return ReplicatedStore.PersistedEntries.NONE;
        }
        Optional<ReplicatedStore.PersistedEntries> entries = EntryFile.decode(self, file.get());
        if (entries.isEmpty()) {
            log.info("replication-file-corrupt file=" + ENTRY_FILE + " action=discarded");
        }
        return entries.orElse(ReplicatedStore.PersistedEntries.NONE);
    }

    /** Returns the store of this backend. */
    public ReplicatedStore store() {
        return store;
    }

    /** Returns this backend's node of the write-once registers. */
    public PaxosNode registers() {
        return registers;
    }

    private List<String> livePeers() {
        List<String> peers = new ArrayList<>();
        for (MemberRecord member : recovery.membership().memberTable().records()) {
            boolean live = member.isLive();
            if (live && !member.name().equals(self)) {
                peers.add(member.name());
            }
        }
        return peers;
    }

    private void tick() {
        Duration now = loop.clock().uptime();
        boolean wasRecovering = recovering;
        recovering = view.status(now) == QuorumStatus.RECOVERING;
        if (recovering && !wasRecovering) {
            store.discardForeignEntries(now);
        }
        send(STORE_PAYLOAD, store.tick(now));
        send(REGISTERS_PAYLOAD, registers.tick(now));
        if (!writer.isBusy() && now.compareTo(nextWrite) >= 0) {
            write();
        }
    }

    private void write() {
        Optional<ReplicatedStore.PersistedEntries> entries = store.pendingWrite();
        if (entries.isPresent()) {
            writeEntries(entries.get());
        } else {
            registers.pendingWrite().ifPresent(this::writeRegisters);
        }
    }

    private void writeEntries(ReplicatedStore.PersistedEntries entries) {
        writer.replace(ENTRY_FILE, EntryFile.encode(self, entries), failure -> {
            if (failure.isEmpty()) {
                store.writeCompleted(entries);
            }
            recordWriteResult(failure);
        });
    }

    private void writeRegisters(PaxosNode.PendingWrite write) {
        writer.replace(REGISTER_FILE, write.bytes(), failure -> {
            if (failure.isEmpty()) {
                send(REGISTERS_PAYLOAD, registers.writeCompleted(loop.clock().uptime(), write.version()));
            } else {
                registers.writeFailed();
            }
            recordWriteResult(failure);
        });
    }

    private void recordWriteResult(Optional<IOException> failure) {
        failure.ifPresent(cause -> nextWrite = loop.clock().uptime().plus(WRITE_RETRY_DELAY));
        if (failure.isPresent() != diskFailing) {
            diskFailing = failure.isPresent();
            log.info(failure.map(cause -> "replication-write-failed error=\"" + cause.getMessage() + "\"")
                    .orElse("replication-write-recovered"));
        }
    }

    private void send(byte type, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            byte[] payload = new byte[message.body().length + 1];
            payload[0] = type;
            System.arraycopy(message.body(), 0, payload, 1, message.body().length);
            recovery.membership().sendPayload(message.receiver(), payload);
        }
        if (!messages.isEmpty()) {
            recovery.flush();
        }
    }

    @Override
    public void onPayload(String sender, byte[] payload) {
        if (payload.length == 0) {
            return;
        }
        Duration now = loop.clock().uptime();
        byte[] body = Arrays.copyOfRange(payload, 1, payload.length);
        if (payload[0] == STORE_PAYLOAD) {
            send(STORE_PAYLOAD, store.receive(now, sender, body));
        } else if (payload[0] == REGISTERS_PAYLOAD) {
            send(REGISTERS_PAYLOAD, registers.receive(now, sender, body));
        }
    }

    /** Returns the state for operators, as a JSON object. */
    public String statusJson() {
        return "{\"disk\":" + !diskFailing + ",\"words\":" + store.statusJson() + ",\"registers\":"
                + registers.statusJson() + "}";
    }
}
