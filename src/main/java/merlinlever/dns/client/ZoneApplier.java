package merlinlever.dns.client;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.UpdatePlan;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.Tsig;

/**
 * Brings a live zone to what is wanted: fetches it, plans, sends one update after the other, and fetches it again to see.
 * It stops at the first update that is not done, or whose end is not known, and says how far it came.
 */
public final class ZoneApplier {

    /** Entries of an update: small enough that a server's other work has its turn between two. */
    public static final int MOST = 1000;

    /** Who hears how it goes. */
    public interface ProgressListener {
        void planned(Zone live, List<UpdatePlan.Batch> batches);

        void done(int batch);

        /** Over; {@code why} is null where the live zone now says what is wanted, or where nothing was to be done. */
        void ended(int done, String why);
    }

    private final DnsClient asker;
    private final InetSocketAddress server;
    private final Tsig.TsigKey key;
    private final Duration patience;
    private final Zone wanted;
    private final boolean dryRun;
    private final ProgressListener watcher;
    private List<UpdatePlan.Batch> batches;

    private ZoneApplier(
            DnsClient asker,
            InetSocketAddress server,
            Tsig.TsigKey key,
            Duration patience,
            Zone wanted,
            boolean dryRun,
            ProgressListener watcher) {
        this.asker = asker;
        this.server = server;
        this.key = key;
        this.patience = patience;
        this.wanted = wanted;
        this.dryRun = dryRun;
        this.watcher = watcher;
    }

    public static void start(
            DnsClient asker,
            InetSocketAddress server,
            Tsig.TsigKey key,
            Duration patience,
            Zone wanted,
            boolean dryRun,
            ProgressListener watcher) {
        ZoneApplier applier = new ZoneApplier(asker, server, key, patience, wanted, dryRun, watcher);
        applier.fetch(applier::plan);
    }

    private void fetch(Consumer<Zone> then) {
        ZoneFetcher.zone(asker, server, wanted.origin(), key, fetched -> {
            if (fetched.zone() == null) {
                watcher.ended(batches == null ? 0 : batches.size(), "the zone cannot be fetched: " + fetched.failure());
            } else {
                then.accept(fetched.zone());
            }
        });
    }

    private void plan(Zone live) {
        batches = UpdatePlan.of(live, wanted, MOST);
        watcher.planned(live, batches);
        if (dryRun || batches.isEmpty()) {
            watcher.ended(0, null);
        } else {
            send(0);
        }
    }

    private void send(int index) {
        if (index == batches.size()) {
            fetch(live -> {
                Difference left = Difference.between(live, wanted);
                int records = left.records() - 2;
                watcher.ended(
                        index,
                        records == 0
                                ? null
                                : "the zone was changed by somebody else meanwhile: " + records
                                        + " records differ; run it again");
            });
            return;
        }
        UpdatePlan.Batch batch = batches.get(index);
        byte[] message = UpdateMessages.message(wanted.origin(), batch.prerequisites(), batch.changes(), key);
        if (message == null) {
            watcher.ended(
                    index, "update " + (index + 1) + " does not fit one message: a single name has too many records");
            return;
        }
        asker.exchange(server, message, key, patience, answered -> {
            if (answered.isSuccessful()) {
                watcher.done(index);
                send(index + 1);
            } else {
                boolean changed = answered.status() == ExchangeResult.ExchangeStatus.ANSWERED
                        && answered.message().code() >= 6
                        && answered.message().code() <= 8;
                watcher.ended(
                        index,
                        "update " + (index + 1) + ": " + answered.describe()
                                + (changed ? ": what it touches was changed by somebody else since the plan" : ""));
            }
        });
    }
}
