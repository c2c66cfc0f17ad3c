package merlinlever.cli.dns;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.dns.client.DnsClient;
import merlinlever.dns.client.ZoneApplier;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.state.UpdatePlan;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.Tsig;

/** Carries out {@code zone apply} on an event loop of its own and prints the progress. */
final class ZoneApplyRunner implements ZoneApplier.ProgressListener {

    /**
     * The server of the live zone.
     *
     * @param key that signs the updates, if any
     * @param timeout of each answer
     */
    record Target(InetSocketAddress address, Optional<Tsig.TsigKey> key, Duration timeout) {}

    private final Zone wanted;
    private final Path file;
    private final Target target;
    private final boolean dryRun;
    private final PrintWriter out;
    private final PrintWriter err;
    private EventLoop loop;
    private List<UpdatePlan.Batch> batches = List.of();
    private int exitStatus;
    // Read by the shutdown hook as well.
    private volatile boolean planned;
    private volatile int plannedUpdates;
    private volatile int doneUpdates;
    private volatile boolean over;

    ZoneApplyRunner(Zone wanted, Path file, Target target, boolean dryRun, PrintWriter out, PrintWriter err) {
        this.wanted = wanted;
        this.file = file;
        this.target = target;
        this.dryRun = dryRun;
        this.out = out;
        this.err = err;
    }

    /** Blocks until the live zone is as wanted or cannot be brought to it, and returns the exit status. */
    int run() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::reportInterruption));
        DnsClient client;
        try {
            loop = new EventLoop(MonotonicClock.system(), failure -> ended(doneUpdates, "failed: " + failure));
            client = new DnsClient(loop, new SplittableRandom(System.nanoTime()), () -> Instant.now()
                    .getEpochSecond());
        } catch (IOException e) {
            err.println("no socket: " + e.getMessage());
            return 1;
        }
        loop.execute(() -> ZoneApplier.start(
                client, target.address(), target.key().orElse(null), target.timeout(), wanted, dryRun, this));
        loop.run();
        client.close();
        out.flush();
        err.flush();
        return exitStatus;
    }

    private void reportInterruption() {
        if (!over && planned) {
            String hint = dryRun ? "" : ", the next may have been; run it again";
            err.println("stopped: " + doneUpdates + " of " + plannedUpdates + " updates were done" + hint);
            err.flush();
        }
    }

    @Override
    public void planned(Zone live, List<UpdatePlan.Batch> plan) {
        batches = plan;
        plannedUpdates = plan.size();
        planned = true;
        int removed = plan.stream().mapToInt(batch -> batch.removed().size()).sum();
        int added = plan.stream().mapToInt(batch -> batch.added().size()).sum();
        out.println(DomainNames.text(live.origin()) + ": serial " + live.serial() + " live, " + plan.size()
                + " updates, " + removed + " records out, " + added + " in");
        for (UpdatePlan.Batch batch : plan) {
            batch.removed().forEach(dnsRecord -> out.println("- " + dnsRecord));
            batch.added().forEach(dnsRecord -> out.println("+ " + dnsRecord));
        }
        out.flush();
    }

    @Override
    public void done(int index) {
        doneUpdates = index + 1;
        out.println("update " + doneUpdates + " of " + plannedUpdates + " done: "
                + batches.get(index).names() + " names");
        out.flush();
    }

    @Override
    public void ended(int count, String failure) {
        over = true;
        if (failure != null) {
            err.println("not done: " + failure + "; " + count + " of " + plannedUpdates + " updates were done");
            exitStatus = 1;
        } else if (dryRun) {
            out.println("nothing was changed");
        } else if (plannedUpdates == 0) {
            out.println("the live zone says what " + file + " says already");
        } else {
            out.println("done: the live zone says what " + file + " says");
        }
        loop.stop();
    }
}
