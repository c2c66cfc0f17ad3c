package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.net.EventLoop;

/** The pending deep health check, if any, with its token and timeout. Each check has exactly one result. */
final class DeepHealthCheck {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Consumer<Boolean> resultConsumer;
    private Optional<String> pendingToken = Optional.empty();
    private EventLoop.Timer timeout;

    /** @param resultConsumer called once per check, with whether the agent completed the check in time */
    DeepHealthCheck(EventLoop loop, Consumer<Boolean> resultConsumer) {
        this.loop = loop;
        this.resultConsumer = resultConsumer;
    }

    /** Returns the token of the pending check. */
    Optional<String> pendingToken() {
        return pendingToken;
    }

    /** Starts a check, which fails unless it is completed within the timeout. */
    void start(String token) {
        pendingToken = Optional.of(token);
        timeout = loop.schedule(TIMEOUT, () -> {
            clear();
            resultConsumer.accept(false);
        });
    }

    /** Completes the pending check if the token matches; results of other checks are ignored. */
    void complete(String token, boolean succeeded) {
        if (pendingToken.isPresent() && pendingToken.get().equals(token)) {
            clear();
            resultConsumer.accept(succeeded);
        }
    }

    private void clear() {
        pendingToken = Optional.empty();
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
