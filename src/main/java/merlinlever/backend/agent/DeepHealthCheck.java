package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.net.EventLoop;

/** The deep health check in flight, if any: its token, its timeout and its single result. */
final class DeepHealthCheck {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Consumer<Boolean> verdict;
    private Optional<String> openToken = Optional.empty();
    private EventLoop.Timer timeout;

    /** @param verdict receives the result of each check, once: whether the work was done in time */
    DeepHealthCheck(EventLoop loop, Consumer<Boolean> verdict) {
        this.loop = loop;
        this.verdict = verdict;
    }

    /** The token of the check in flight. */
    Optional<String> openToken() {
        return openToken;
    }

    /** Starts a check, which fails unless it is answered within the timeout. */
    void open(String token) {
        openToken = Optional.of(token);
        timeout = loop.schedule(TIMEOUT, () -> {
            close();
            verdict.accept(false);
        });
    }

    /** Ends the check with the answer; an answer to any other check is ignored. */
    void answered(String token, boolean succeeded) {
        if (openToken.isPresent() && openToken.get().equals(token)) {
            close();
            verdict.accept(succeeded);
        }
    }

    private void close() {
        openToken = Optional.empty();
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
