package merlinlever.testing.faults.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.testing.faults.audit.RequestAudit;

/**
 * Generates the HTTP load of one backend: requests arrive as a Poisson process, and a fraction of them is keyed, that
 * is, carries an idempotency token. A keyed request that fails is retried with the same token at the same backend until
 * its retry window ends, after the delay in the response or after {@link #DEFAULT_RETRY_DELAY}. Each attempt is
 * reported to a {@link RequestAudit}. Must be used only on the thread of the loop.
 */
public final class LoadGenerator {

    /**
     * The load of one backend.
     *
     * @param perSecond mean rate of new requests
     * @param keyedShare fraction of requests that carry a token and must not take effect twice
     * @param attemptTimeout timeout of one attempt
     * @param retryWindow time since the first attempt within which a keyed request is retried
     */
    public record LoadSettings(double perSecond, double keyedShare, Duration attemptTimeout, Duration retryWindow) {}

    /** Added to the timeout of an attempt, because the harness itself may be delayed on a busy machine. */
    private static final Duration TIMEOUT_TOLERANCE = Duration.ofSeconds(1);

    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(150);
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int HTTP_OK = 200;
    /** Status of an attempt that ended without a response. */
    private static final int NO_RESPONSE = 0;

    private static final String LINE_END = "\r\n";
    private static final String HEADER_END = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "Content-Length: ";
    private static final String RETRY_AFTER = "Srv-Wait-Ms: ";
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_DIGITS = 3;

    private final EventLoop loop;
    private final InetSocketAddress backend;
    private final LoadSettings settings;
    private final RequestAudit audit;
    private final SplittableRandom random;
    private boolean generating;
    private boolean backendDown;
    /** Number of changes of {@link #backendDown}; an attempt during a change may end without a response. */
    private int backendIncarnation;

    private int openAttempts;
    private Duration lastUnkeyedSuccess;
    private Duration lastKeyedSuccess;

    /** Creates an idle generator; see {@link #start}. */
    public LoadGenerator(
            EventLoop loop,
            InetSocketAddress backend,
            LoadSettings settings,
            RequestAudit audit,
            SplittableRandom random) {
        this.loop = loop;
        this.backend = backend;
        this.settings = settings;
        this.audit = audit;
        this.random = random;
    }

    /** Starts generating requests. */
    public void start() {
        generating = true;
        generateNext();
    }

    /** Stops generating requests; open requests are still retried. */
    public void stop() {
        generating = false;
    }

    /** Sets whether the backend is killed or paused; attempts that overlap a downtime may fail. */
    public void setBackendDown(boolean down) {
        backendDown = down;
        backendIncarnation++;
    }

    /** Returns the number of attempts without a result. */
    public int openAttempts() {
        return openAttempts;
    }

    /** Returns whether an unkeyed request, and if {@code keyedToo} a keyed one, succeeded after the given uptime. */
    public boolean servedSince(Duration uptime, boolean keyedToo) {
        return isAfter(lastUnkeyedSuccess, uptime) && (!keyedToo || isAfter(lastKeyedSuccess, uptime));
    }

    private static boolean isAfter(Duration success, Duration uptime) {
        return success != null && success.compareTo(uptime) > 0;
    }

    private void generateNext() {
        if (generating) {
            boolean keyed = random.nextDouble() < settings.keyedShare;
            String token = String.format("%016x%016x", random.nextLong(), random.nextLong());
            new RequestAttempt(
                            keyed ? token : "look-" + token, keyed, loop.clock().uptime())
                    .send();
            // Exponential gaps keep the loads of the backends uncorrelated.
            double gapSeconds = -Math.log(1 - random.nextDouble()) / settings.perSecond;
            loop.schedule(Duration.ofNanos((long) (gapSeconds * NANOS_PER_SECOND)), this::generateNext);
        }
    }

    private final class RequestAttempt implements Connection.Handler {
        private final String request;
        private final boolean keyed;
        private final Duration firstSentAt;
        private final Duration sentAt = loop.clock().uptime();
        private final int sentInIncarnation = backendIncarnation;
        private final String id = String.format("%016x", random.nextLong());
        private Connection connection;
        private EventLoop.Timer timeout;
        private boolean ended;
        private boolean connected;

        RequestAttempt(String request, boolean keyed, Duration firstSentAt) {
            this.request = request;
            this.keyed = keyed;
            this.firstSentAt = firstSentAt;
        }

        void send() {
            openAttempts++;
            timeout = loop.schedule(
                    settings.attemptTimeout.plus(TIMEOUT_TOLERANCE),
                    () -> fail("no response before the deadline", false));
            try {
                connection =
                        Connection.connect(loop, backend, this, BUFFER_BYTES, BUFFER_BYTES, settings.attemptTimeout);
            } catch (IOException e) {
                fail("the connection could not be opened", true);
                return;
            }
            connection.write(ByteBuffer.wrap(encodeRequest().getBytes(StandardCharsets.US_ASCII)));
        }

        private String encodeRequest() {
            return "POST /svc/" + (keyed ? "buy" : "look") + " HTTP/1.1\r\n"
                    + "Host: harness\r\n"
                    + "Req-Id: " + id + LINE_END
                    + "Req-Time: " + System.currentTimeMillis() + LINE_END
                    + "Req-From: 1\r\n"
                    + "Req-Wait-Ms: " + settings.attemptTimeout.toMillis() + LINE_END
                    + "Req-Kb: 10\r\n"
                    + "Req-Rank: 0.5\r\n"
                    + (keyed ? "Req-Token: " + request + LINE_END : "")
                    + CONTENT_LENGTH + request.length() + HEADER_END
                    + request;
        }

        @Override
        public void onConnected() {
            connected = true;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            String text = StandardCharsets.US_ASCII.decode(in.duplicate()).toString();
            int headerEnd = text.indexOf(HEADER_END);
            int lengthHeader = text.indexOf(CONTENT_LENGTH);
            if (headerEnd < 0 || lengthHeader < 0) {
                return;
            }
            int length = Math.toIntExact(headerNumber(text, lengthHeader + CONTENT_LENGTH.length()));
            int bodyStart = headerEnd + HEADER_END.length();
            if (text.length() < bodyStart + length) {
                return;
            }
            in.position(in.limit());
            int status = Integer.parseInt(text.substring(STATUS_START, STATUS_START + STATUS_DIGITS));
            complete(status, text, bodyStart);
        }

        @Override
        public void onClosed(CloseReason reason) {
            // A refused connection proves that no execution started.
            fail("the connection closed: " + reason, !connected);
        }

        private void complete(int status, String response, int bodyStart) {
            if (ended) {
                return;
            }
            Duration now = end();
            Duration lateBy = now.minus(sentAt).minus(settings.attemptTimeout).minus(TIMEOUT_TOLERANCE);
            if (status > NO_RESPONSE) {
                audit.recordResponse(request, id, status, response.substring(bodyStart), lateBy.toMillis());
            } else {
                audit.recordNoResponse(request, id, isFailureExcused(false), null);
            }
            connection.close(CloseReason.COMPLETED);
            if (status == HTTP_OK) {
                recordSuccess(now);
            } else {
                retryAfter(retryDelay(response), now);
            }
        }

        private void fail(String reason, boolean excused) {
            if (ended) {
                return;
            }
            Duration now = end();
            audit.recordNoResponse(request, id, isFailureExcused(excused), reason);
            if (connection != null) {
                connection.close(CloseReason.COMPLETED);
            }
            retryAfter(DEFAULT_RETRY_DELAY, now);
        }

        private Duration end() {
            ended = true;
            openAttempts--;
            timeout.cancel();
            return loop.clock().uptime();
        }

        private boolean isFailureExcused(boolean excused) {
            return excused || backendDown || sentInIncarnation != backendIncarnation;
        }

        private void recordSuccess(Duration now) {
            if (keyed) {
                lastKeyedSuccess = now;
            } else {
                lastUnkeyedSuccess = now;
            }
        }

        private void retryAfter(Duration delay, Duration now) {
            if (keyed && isInRetryWindow(now)) {
                loop.schedule(delay, () -> {
                    if (isInRetryWindow(loop.clock().uptime())) {
                        new RequestAttempt(request, true, firstSentAt).send();
                    }
                });
            }
        }

        private boolean isInRetryWindow(Duration now) {
            return now.minus(firstSentAt).compareTo(settings.retryWindow) < 0;
        }
    }

    private static Duration retryDelay(String response) {
        int header = response.indexOf(RETRY_AFTER);
        return header < 0
                ? DEFAULT_RETRY_DELAY
                : Duration.ofMillis(headerNumber(response, header + RETRY_AFTER.length()));
    }

    private static long headerNumber(String response, int start) {
        return Long.parseLong(response.substring(start, response.indexOf('\r', start)));
    }
}
