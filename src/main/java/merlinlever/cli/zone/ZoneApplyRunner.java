package merlinlever.cli.zone;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.zone.client.DnsClient;
import merlinlever.zone.client.ZoneApplier;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.state.UpdatePlan;
import merlinlever.zone.state.Zone;
import merlinlever.zone.wire.Tsig;

/** Carries out {@code zone apply} and tells the person who asked how it goes. */
final class ZoneApplyRunner implements ZoneApplier.ProgressListener {

    private final Zone wanted;
    private final Path file;
    private final InetSocketAddress server;
    private final Tsig.TsigKey key;
    private final Duration patience;
    private final boolean dryRun;
    private final PrintWriter out;
    private final PrintWriter err;
    private EventLoop loop;
    private volatile int planned = -1;
    private volatile int done;
    private volatile boolean over;
    private List<UpdatePlan.Batch> batches = List.of();
    private int status;

    ZoneApplyRunner(
            Zone wanted,
            Path file,
            InetSocketAddress server,
            Tsig.TsigKey key,
            Duration patience,
            boolean dryRun,
            PrintWriter out,
            PrintWriter err) {
        this.wanted = wanted;
        this.file = file;
        this.server = server;
        this.key = key;
        this.patience = patience;
        this.dryRun = dryRun;
        this.out = out;
        this.err = err;
    }

    int run() {
        Thread stopped = new Thread(() -> {
            if (!over && planned >= 0) {
                err.println("stopped: " + done + " of " + planned + " updates were done"
                        + (dryRun ? "" : ", the next may have been; run it again"));
                err.flush();
            }
        });
        Runtime.getRuntime().addShutdownHook(stopped);
        DnsClient asker;
        try {
            loop = new EventLoop(MonotonicClock.system(), failure -> ended(done, "failed: " + failure));
            asker = new DnsClient(
                    loop, new SplittableRandom(System.nanoTime()), () -> System.currentTimeMillis() / 1000);
        } catch (IOException e) {
            err.println("no socket: " + e.getMessage());
            return 1;
        }
        loop.execute(() -> ZoneApplier.start(asker, server, key, patience, wanted, dryRun, this));
        loop.run();
        asker.close();
        out.flush();
        err.flush();
        return status;
    }

    @Override
    public void planned(Zone live, List<UpdatePlan.Batch> made) {
        batches = made;
        planned = made.size();
        out.println(DomainNames.text(live.origin()) + ": serial " + live.serial() + " live, " + made.size()
                + " updates, "
                + made.stream().mapToInt(batch -> batch.removed().size()).sum() + " records out, "
                + made.stream().mapToInt(batch -> batch.added().size()).sum() + " in");
        for (UpdatePlan.Batch batch : made) {
            batch.removed().forEach(rec -> out.println("- " + rec));
            batch.added().forEach(rec -> out.println("+ " + rec));
        }
        out.flush();
    }

    @Override
    public void done(int batch) {
        done = batch + 1;
        out.println("update " + done + " of " + planned + " done: "
                + batches.get(batch).names() + " names");
        out.flush();
    }

    @Override
    public void ended(int count, String why) {
        over = true;
        if (why != null) {
            err.println("not done: " + why + "; " + count + " of " + Math.max(0, planned) + " updates were done");
            status = 1;
        } else {
            out.println(
                    dryRun
                            ? "nothing was changed"
                            : planned == 0
                                    ? "the live zone says what " + file + " says already"
                                    : "done: the live zone says what " + file + " says");
        }
        loop.stop();
    }
}
