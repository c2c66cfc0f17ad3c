package merlinlever.replication.net;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.election.Leadership;
import merlinlever.membership.MemberRecord;
import merlinlever.membership.PayloadHandler;
import merlinlever.net.EventLoop;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.replication.OutgoingMessage;
import merlinlever.replication.PaxosNode;
import merlinlever.replication.ReplicatedStore;
import merlinlever.replication.disk.EntryFile;
import merlinlever.replication.disk.StateWriter;
import merlinlever.storage.StateDirectory;
import merlinlever.view.FleetView;
import merlinlever.view.QuorumStatus;

/**
 * One backend's words and registers on the loop, membership's datagrams and the disk. Each letter begins with an octet that says
 * which of the two it is for. While the disk fails nothing new of its own is told and nothing is voted.
 */
public final class ReplicationTransport implements PayloadHandler {

    private static final Duration LOOK = Duration.ofMillis(20);
    private static final Duration AGAIN = Duration.ofSeconds(1);
    private static final String WORDS = "words";
    private static final String REGISTERS = "registers";
    /** First octets of letters. */
    private static final byte FOR_WORDS = 'w', FOR_REGISTERS = 'r';

    private final EventLoop loop;
    private final RecoveryCoordinator rejoin;
    private final FleetView seen;
    private final Consumer<String> log;
    private final StateWriter keeper;
    private final ReplicatedStore words;
    private final PaxosNode decree;
    private final String self;
    private Duration writeNext = Duration.ZERO;
    private boolean writing, failed, returning;

    /** @param folder for {@code words} and {@code registers}, held by this process */
    public ReplicationTransport(
            EventLoop loop,
            RecoveryCoordinator rejoin,
            StateDirectory folder,
            ReplicatedStore.ReplicationSettings stated,
            Leadership leadership,
            FleetView seen,
            long seed,
            Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.rejoin = rejoin;
        this.seen = seen;
        this.log = log;
        self = rejoin.members().memberTable().self();
        keeper = new StateWriter(folder, loop);
        SplittableRandom chance = new SplittableRandom(seed);
        Duration now = loop.clock().uptime();
        byte[] found = keeper.read(WORDS);
        ReplicatedStore.PersistedEntries kept =
                found == null ? ReplicatedStore.PersistedEntries.NOTHING : EntryFile.parsed(self, found);
        if (kept == null) {
            log.accept("found its own words spoilt, thrown away: others tell what they have heard of them");
            kept = ReplicatedStore.PersistedEntries.NOTHING;
        }
        words = new ReplicatedStore(
                now,
                self,
                rejoin.members().memberTable().find(self).incarnation(),
                kept,
                stated,
                this::live,
                chance.split(),
                log);
        decree = new PaxosNode(now, self, keeper.read(REGISTERS), leadership, seen, this::live, chance.split(), log);
        rejoin.members().addPayloadHandler(this);
        loop.every(LOOK, this::look);
    }

    public ReplicatedStore words() {
        return words;
    }

    public PaxosNode decree() {
        return decree;
    }

    private List<String> live() {
        List<String> live = new ArrayList<>();
        for (MemberRecord each : rejoin.members().memberTable().all()) {
            if (!each.name().equals(self) && each.isLive()) {
                live.add(each.name());
            }
        }
        return live;
    }

    private void look() {
        Duration now = loop.clock().uptime();
        boolean was = returning;
        returning = seen.status(now) == QuorumStatus.RECOVERING;
        if (returning && !was) {
            words.away(now);
        }
        say(FOR_WORDS, words.look(now));
        say(FOR_REGISTERS, decree.look(now));
        if (!writing && now.compareTo(writeNext) >= 0) {
            write(now);
        }
    }

    private void write(Duration now) {
        ReplicatedStore.PersistedEntries kept = words.keep();
        if (kept != null) {
            writing = keeper.write(WORDS, EntryFile.octets(self, kept), how -> written(how, () -> words.kept(kept)));
            return;
        }
        PaxosNode.PendingWrite keep = decree.keep();
        if (keep != null) {
            writing = keeper.write(REGISTERS, keep.octets(), how -> {
                if (how != null) {
                    decree.notKept();
                }
                written(how, () -> say(FOR_REGISTERS, decree.kept(loop.clock().uptime(), keep.version())));
            });
        }
    }

    private void written(IOException how, Runnable done) {
        writing = false;
        if (how == null) {
            done.run();
        } else {
            writeNext = loop.clock().uptime().plus(AGAIN);
        }
        if (how != null != failed) {
            failed = how != null;
            log.accept(
                    failed
                            ? "what is shared cannot be written: " + how.getMessage()
                                    + "; nothing new of its own is told until it can"
                            : "what is shared can be written again");
        }
    }

    private void say(byte who, List<OutgoingMessage> all) {
        for (OutgoingMessage each : all) {
            byte[] body = new byte[each.body().length + 1];
            body[0] = who;
            System.arraycopy(each.body(), 0, body, 1, each.body().length);
            rejoin.members().sendPayload(each.to(), body);
        }
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void onPayload(String name, byte[] body) {
        if (body.length == 0) {
            return;
        }
        Duration now = loop.clock().uptime();
        byte[] rest = Arrays.copyOfRange(body, 1, body.length);
        if (body[0] == FOR_WORDS) {
            say(FOR_WORDS, words.came(now, name, rest));
        } else if (body[0] == FOR_REGISTERS) {
            say(FOR_REGISTERS, decree.came(now, name, rest));
        }
    }

    /** For operators, as a JSON object. */
    public String json() {
        return "{\"disk\":" + !failed + ",\"words\":" + words.json() + ",\"registers\":" + decree.json() + "}";
    }
}
