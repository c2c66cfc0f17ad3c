package merlinlever.testing.faults.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.testing.faults.audit.RequestAudit;

/**
 * Those who call one backend: so many operations a second, a part of them keyed. A keyed one that was not satisfied is
 * tried again, under its token, at the same backend, until its window is over: after a refusal when it was told to come
 * back, after a lost connection soon. Each try is judged when it ends.
 */
public final class LoadGenerator {

    /**
     * What is stated.
     *
     * @param keyed share of operations that must not run twice
     * @param patience for one try
     * @param window in which a keyed operation is tried again
     */
    public record LoadSettings(double perSecond, double keyed, Duration patience, Duration window) {}

    /** Many processes share one machine here, and the harness is late itself at times. */
    private static final Duration SLACK = Duration.ofSeconds(1);

    private static final Duration SOON = Duration.ofMillis(150);
    private static final int ANSWER = 16 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress backend;
    private final LoadSettings stated;
    private final RequestAudit rules;
    private final SplittableRandom chance;
    private boolean calling, away;
    private int life, open;
    /** When what was satisfied last, by kind: retriable, keyed. */
    private final Duration[] satisfiedAt = new Duration[2];

    private final List<long[]> ends = new ArrayList<>();

    public LoadGenerator(
            EventLoop loop,
            InetSocketAddress backend,
            LoadSettings stated,
            RequestAudit rules,
            SplittableRandom chance) {
        this.loop = loop;
        this.backend = backend;
        this.stated = stated;
        this.rules = rules;
        this.chance = chance;
    }

    public void begin() {
        calling = true;
        next();
    }

    /** No new operations; those in hand are tried to their end. */
    public void end() {
        calling = false;
    }

    /** The backend is killed or stopped, or is there again: what is open there, or is sent meanwhile, is owed no answer. */
    public void away(boolean is) {
        away = is;
        life++;
    }

    /** Tries that are open. */
    public int open() {
        return open;
    }

    /** Whether both kinds were satisfied after the moment. */
    public boolean servedSince(Duration moment, boolean keyedToo) {
        return satisfiedAt[0] != null
                && satisfiedAt[0].compareTo(moment) > 0
                && (!keyedToo || (satisfiedAt[1] != null && satisfiedAt[1].compareTo(moment) > 0));
    }

    /** Of each try that ended: when (ms since the start), whether keyed, the status or 0. */
    public List<long[]> ends() {
        return ends;
    }

    private void next() {
        if (calling) {
            boolean keyed = chance.nextDouble() < stated.keyed;
            String token = String.format("%016x%016x", chance.nextLong(), chance.nextLong());
            new RequestAttempt(
                            keyed ? token : "look-" + token, keyed, loop.clock().uptime())
                    .send();
            // As a Poisson stream, so that no two backends are in step.
            loop.schedule(
                    Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / stated.perSecond * 1e9)), this::next);
        }
    }

    private final class RequestAttempt implements Connection.Handler {
        private final String operation;
        private final boolean keyed;
        private final Duration first;
        private final Duration sent = loop.clock().uptime();
        private final int begunIn = life;
        private final String id = String.format("%016x", chance.nextLong());
        private Connection connection;
        private EventLoop.Timer late;
        private boolean over, made;

        RequestAttempt(String operation, boolean keyed, Duration first) {
            this.operation = operation;
            this.keyed = keyed;
            this.first = first;
        }

        void send() {
            open++;
            late = loop.schedule(stated.patience.plus(SLACK), () -> over(0, null, "no answer by its due time", false));
            try {
                connection = Connection.connect(loop, backend, this, ANSWER, ANSWER, stated.patience);
            } catch (IOException e) {
                over(0, null, "no channel", true);
                return;
            }
            connection.write(ByteBuffer.wrap(
                    ("POST /svc/" + (keyed ? "buy" : "look") + " HTTP/1.1\r\nHost: harness\r\nReq-Id: " + id
                                    + "\r\nReq-Time: " + System.currentTimeMillis() + "\r\nReq-From: 1\r\nReq-Wait-Ms: "
                                    + stated.patience.toMillis()
                                    + "\r\nReq-Kb: 10\r\nReq-Rank: 0.5\r\n"
                                    + (keyed ? "Req-Token: " + operation + "\r\n" : "") + "Content-Length: "
                                    + operation.length() + "\r\n\r\n" + operation)
                            .getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void onConnected() {
            made = true;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            String text = StandardCharsets.US_ASCII.decode(in.duplicate()).toString();
            int head = text.indexOf("\r\n\r\n");
            int at = text.indexOf("Content-Length: ");
            if (head < 0 || at < 0) {
                return;
            }
            int length = Integer.parseInt(text.substring(at + 16, text.indexOf('\r', at)));
            if (text.length() < head + 4 + length) {
                return;
            }
            in.position(in.limit());
            over(Integer.parseInt(text.substring(9, 12)), text, null, false);
        }

        @Override
        public void onClosed(CloseReason how) {
            // A refused connection proves that nothing ran.
            over(0, null, "its connection ended: " + how, !made);
        }

        private void over(int status, String text, String how, boolean excused) {
            if (over) {
                return;
            }
            over = true;
            open--;
            late.cancel();
            Duration now = loop.clock().uptime();
            ends.add(new long[] {now.toMillis(), keyed ? 1 : 0, status});
            if (status > 0) {
                rules.answered(
                        operation,
                        id,
                        status,
                        text.substring(text.indexOf("\r\n\r\n") + 4),
                        now.minus(sent).minus(stated.patience).minus(SLACK).toMillis());
            } else {
                rules.unanswered(operation, id, excused || away || life != begunIn, how);
            }
            if (connection != null) {
                connection.close(CloseReason.COMPLETED);
            }
            if (status == 200) {
                satisfiedAt[keyed ? 1 : 0] = now;
            } else if (keyed && now.minus(first).compareTo(stated.window) < 0) {
                loop.schedule(pause(text), () -> {
                    if (loop.clock().uptime().minus(first).compareTo(stated.window) < 0) {
                        new RequestAttempt(operation, true, first).send();
                    }
                });
            }
        }

        private Duration pause(String text) {
            int at = text == null ? -1 : text.indexOf("Srv-Wait-Ms: ");
            return at < 0 ? SOON : Duration.ofMillis(Long.parseLong(text.substring(at + 13, text.indexOf('\r', at))));
        }
    }
}
