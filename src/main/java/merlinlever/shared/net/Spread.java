package merlinlever.shared.net;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinlever.durable.Folder;
import merlinlever.members.Members;
import merlinlever.members.Views;
import merlinlever.net.Loop;
import merlinlever.recovery.net.Rejoin;
import merlinlever.shared.Carry;
import merlinlever.shared.Decree;
import merlinlever.shared.Words;
import merlinlever.shared.disk.Keeper;
import merlinlever.shared.disk.WordsFile;
import merlinlever.term.Leadership;
import merlinlever.view.Seen;
import merlinlever.view.Standing;

/**
 * One backend's words and registers on the loop, membership's datagrams and the disk. Each letter begins with an octet that says
 * which of the two it is for. While the disk fails nothing new of its own is told and nothing is voted.
 */
public final class Spread implements Members.Carried {

    private static final Duration LOOK = Duration.ofMillis(20);
    private static final Duration AGAIN = Duration.ofSeconds(1);
    private static final String WORDS = "words";
    private static final String REGISTERS = "registers";
    /** First octets of letters. */
    private static final byte FOR_WORDS = 'w', FOR_REGISTERS = 'r';

    private final Loop loop;
    private final Rejoin rejoin;
    private final Seen seen;
    private final Consumer<String> log;
    private final Keeper keeper;
    private final Words words;
    private final Decree decree;
    private final String self;
    private Duration writeNext = Duration.ZERO;
    private boolean writing, failed, returning;

    /** @param folder for {@code words} and {@code registers}, held by this process */
    public Spread(
            Loop loop,
            Rejoin rejoin,
            Folder folder,
            Words.Stated stated,
            Leadership leadership,
            Seen seen,
            long seed,
            Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.rejoin = rejoin;
        this.seen = seen;
        this.log = log;
        self = rejoin.members().views().self();
        keeper = new Keeper(folder, loop);
        SplittableRandom chance = new SplittableRandom(seed);
        Duration now = loop.clock().uptime();
        byte[] found = keeper.read(WORDS);
        Words.Kept kept = found == null ? Words.Kept.NOTHING : WordsFile.parsed(self, found);
        if (kept == null) {
            log.accept("found its own words spoilt, thrown away: others tell what they have heard of them");
            kept = Words.Kept.NOTHING;
        }
        words = new Words(
                now,
                self,
                rejoin.members().views().of(self).incarnation(),
                kept,
                stated,
                this::live,
                chance.split(),
                log);
        decree = new Decree(now, self, keeper.read(REGISTERS), leadership, seen, this::live, chance.split(), log);
        rejoin.members().takes(this);
        loop.every(LOOK, this::look);
    }

    public Words words() {
        return words;
    }

    public Decree decree() {
        return decree;
    }

    private List<String> live() {
        List<String> live = new ArrayList<>();
        for (Views.Rumour each : rejoin.members().views().all()) {
            if (!each.name().equals(self)
                    && (each.status() == Views.Status.ALIVE || each.status() == Views.Status.SUSPECT)) {
                live.add(each.name());
            }
        }
        return live;
    }

    private void look() {
        Duration now = loop.clock().uptime();
        boolean was = returning;
        returning = seen.standing(now) == Standing.RETURNING;
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
        Words.Kept kept = words.keep();
        if (kept != null) {
            writing = keeper.write(WORDS, WordsFile.octets(self, kept), how -> written(how, () -> words.kept(kept)));
            return;
        }
        Decree.Keep keep = decree.keep();
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

    private void say(byte who, List<Carry> all) {
        for (Carry each : all) {
            byte[] body = new byte[each.body().length + 1];
            body[0] = who;
            System.arraycopy(each.body(), 0, body, 1, each.body().length);
            rejoin.members().carry(each.to(), body);
        }
        if (!all.isEmpty()) {
            rejoin.send();
        }
    }

    @Override
    public void carried(String name, byte[] body) {
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
