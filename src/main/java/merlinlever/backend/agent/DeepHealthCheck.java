package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.net.EventLoop;

/** The deep health check that is open, if any: its token, its time limit, and its one verdict. */
final class DeepHealthCheck {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Consumer<Boolean> verdict;
    private Optional<String> openToken = Optional.empty();
    private EventLoop.Timer timeout;

    /** @param verdict gets whether the work was done in time, once for each check */
    DeepHealthCheck(EventLoop loop, Consumer<Boolean> verdict) {
        this.loop = loop;
        this.verdict = verdict;
    }

    /** The token of the check that is open. */
    Optional<String> openToken() {
        return openToken;
    }

    /** Opens a check; unless it is answered in time it has failed. */
    void open(String token) {
        openToken = Optional.of(token);
        timeout = loop.schedule(TIMEOUT, () -> {
            close();
            verdict.accept(false);
        });
    }

    /** Takes an answer; one to another check than the open one is ignored. */
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
