package merlinlever.dns.server;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.log.EventLog;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.dns.server.PendingMessage.MessageKind;
import merlinlever.dns.server.RequestProcessor.ProcessorSettings;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.driver.ControllerDriver;
import merlinlever.driver.DecisionHandler;
import merlinlever.policy.ControllerMetrics;

/**
 * Executes the decisions of the overload controller about messages. Downstream calls are the disk write of an update
 * and the sending of a transfer. Used on the event loop.
 */
final class MessageLifecycle implements DecisionHandler<PendingMessage> {

    private static final double BYTES_PER_KB = 1024;

    private final ControllerDriver<PendingMessage> driver;
    private final QueryHandler queries;
    private final UpdateHandler updates;
    private final TransferHandler transfers;
    private final ResponseBuilder responses;
    private final ZoneServerMetrics metrics;
    private final EventLog log;
    private final Consumer<Duration> wakeUpScheduler;
    private Duration now = Duration.ZERO;
    /** Whether an event has occurred since the last decision of the controller. */
    private boolean needsDecision = true;

    private int inFlight;
    private int submittedSinceDecision;

    /** @param wakeUpScheduler receives the time at which {@link #wakeUp} is to be called */
    MessageLifecycle(
            ProcessorSettings settings,
            Handlers handlers,
            ResponseBuilder responses,
            ZoneServerMetrics metrics,
            EventLog log,
            Consumer<Duration> wakeUpScheduler) {
        queries = handlers.queries;
        updates = handlers.updates;
        transfers = handlers.transfers;
        this.responses = responses;
        this.metrics = metrics;
        this.log = log;
        this.wakeUpScheduler = wakeUpScheduler;
        driver = new ControllerDriver<>(
                DnsControllerSettings.of(settings.memoryMb(), settings.grace()), settings.seed(), this);
    }

    /** The handlers of the kinds of message. */
    record Handlers(QueryHandler queries, UpdateHandler updates, TransferHandler transfers) {}

    /** Returns the number of submitted messages without a response. */
    int inFlight() {
        return inFlight;
    }

    ControllerMetrics controllerMetrics() {
        return driver.controller().metrics();
    }

    /** Sets the current time for the following events. */
    void setTime(Duration time) {
        now = time;
    }

    /** Submits a message to the controller. */
    void submit(PendingMessage pending, Duration readDelay) {
        if (++submittedSinceDecision > DnsControllerSettings.MAX_STARTS_PER_DECISION) {
            // Starts messages of a burst while reading; they would otherwise count as queued until the batch ends.
            decide(now);
        }
        needsDecision = true;
        inFlight++;
        metrics.accepted(pending.kind());
        double bodyKb = pending.request().message().octets().length / BYTES_PER_KB;
        RequestHandle handle = driver.controller()
                .submit(
                        now,
                        RequestAttributes.ofClass(pending.kind().ordinal())
                                .readDelay(readDelay)
                                .memoryKb(1 + bodyKb)
                                .original(
                                        Optional.ofNullable(pending.original()).map(PendingMessage::handle))
                                .build());
        pending.setHandle(driver.register(handle, pending));
    }

    /** Handles the disconnection of a client, which no longer needs the response. */
    void clientDisconnected(Duration at, PendingMessage pending) {
        if (pending.isAnswered()) {
            return;
        }
        now = at;
        needsDecision = true;
        markAnswered(pending);
        pending.handle().callerGone(at);
        failBeforeCall(pending);
    }

    void wakeUp(Duration at) {
        now = at;
        needsDecision = true;
        driver.wakeUpFired();
        // The run queue is empty: each started message runs to its end or to its call within a batch.
        driver.controller().updateGauges(at, new double[] {0});
    }

    void startDrain(Duration at, Duration stop) {
        now = at;
        needsDecision = true;
        driver.controller().startDrain(at, stop);
    }

    /** Lets the controller decide until its decisions cause no further events. */
    void decide(Duration at) {
        submittedSinceDecision = 0;
        while (needsDecision) {
            needsDecision = false;
            now = at;
            driver.decide(at);
        }
    }

    /** Fails a started message that has not made its downstream call; such a message has had no effect. */
    private void failBeforeCall(PendingMessage pending) {
        if (pending.isStarted() && !pending.isCalling() && pending.code().isEmpty()) {
            pending.decideCode(DynamicUpdate.SERVFAIL);
            needsDecision = true;
            pending.handle().runEnded(now, Outcome.ERROR);
            pending.takeDuplicates().forEach(this::failDuplicate);
        }
    }

    private void markAnswered(PendingMessage pending) {
        pending.markAnswered();
        inFlight--;
    }

    private void answer(PendingMessage pending, byte[] response) {
        ReplyChannel replyChannel = pending.request().replyChannel();
        markAnswered(pending);
        replyChannel.answer(response);
    }

    private void answerWithCode(PendingMessage pending, int code) {
        if (!pending.isAnswered()) {
            DnsRequest request = pending.request();
            ReplyChannel replyChannel = request.replyChannel();
            markAnswered(pending);
            replyChannel.answer(responses.withCode(request.message(), request.verification(), code));
        }
    }

    @Override
    public void start(PendingMessage pending) {
        pending.markStarted();
        needsDecision = true;
        if (pending.kind() != MessageKind.QUERY) {
            pending.handle().callNeeded(now);
            return;
        }
        if (!pending.isAnswered()) {
            answer(pending, queries.response(pending.request(), pending.zone()));
            metrics.served(MessageKind.QUERY);
        }
        pending.decideCode(DynamicUpdate.NOERROR);
        end(pending);
    }

    private void end(PendingMessage pending) {
        pending.releaseRequest();
        pending.handle().runEnded(now, Outcome.OK);
    }

    @Override
    public void callDownstream(PendingMessage pending, Duration timeout) {
        pending.setCalling(true);
        if (pending.kind() == MessageKind.TRANSFER) {
            sendTransfer(pending);
        } else {
            applyUpdate(pending);
        }
    }

    private void applyUpdate(PendingMessage pending) {
        Duration calledAt = now;
        updates.apply(pending, code -> {
            pending.setCalling(false);
            needsDecision = true;
            Duration duration = now.minus(calledAt);
            if (code.isPresent()) {
                pending.handle().callEnded(now, Outcome.OK, duration);
                complete(pending, code.getAsInt());
            } else {
                failAfterDiskError(pending, duration);
            }
        });
    }

    /** Fails an update that the journal removed after a disk error. The update has no effect and is not retried. */
    private void failAfterDiskError(PendingMessage pending, Duration duration) {
        pending.decideCode(DynamicUpdate.SERVFAIL);
        pending.handle().callEnded(now, Outcome.REJECTED, duration);
        pending.handle().runEnded(now, Outcome.ERROR);
        forgetIfNotStarted(pending);
        pending.takeDuplicates().forEach(this::failDuplicate);
    }

    private void complete(PendingMessage pending, int code) {
        if (pending.code().isPresent()) {
            return;
        }
        needsDecision = true;
        pending.decideCode(code);
        metrics.served(pending.kind());
        answerWithCode(pending, code);
        end(pending);
        pending.takeDuplicates().forEach(duplicate -> complete(duplicate, code));
    }

    private void failDuplicate(PendingMessage duplicate) {
        answerWithCode(duplicate, DynamicUpdate.SERVFAIL);
        duplicate.decideCode(DynamicUpdate.SERVFAIL);
        duplicate.handle().runEnded(now, Outcome.ERROR);
    }

    private void sendTransfer(PendingMessage pending) {
        if (pending.isAnswered()) {
            pending.setCalling(false);
            needsDecision = true;
            pending.handle().callEnded(now, Outcome.OK, Duration.ZERO);
            pending.handle().runEnded(now, Outcome.OK);
            return;
        }
        Duration calledAt = now;
        transfers.send(pending.request(), pending.zone(), isComplete -> {
            pending.setCalling(false);
            needsDecision = true;
            if (!pending.isAnswered()) {
                markAnswered(pending);
                metrics.served(pending.kind());
            }
            pending.handle().callEnded(now, Outcome.OK, now.minus(calledAt));
            pending.decideCode(DynamicUpdate.NOERROR);
            end(pending);
        });
    }

    @Override
    public void reject(PendingMessage pending, boolean finalRejection, Duration retryAfter) {
        if (!pending.isAnswered()) {
            metrics.rejected(pending.kind());
            DnsRequest request = pending.request();
            answer(pending, responses.rejection(request.message(), request.verification(), retryAfter));
        }
        forgetIfNotStarted(pending);
    }

    @Override
    public void fail(PendingMessage pending) {
        if (!pending.isAnswered()) {
            metrics.failed(pending.kind());
            if (pending.kind() == MessageKind.TRANSFER && pending.isCalling()) {
                // Part of the transfer was sent; closing the connection signals the failure.
                answer(pending, null);
            } else {
                answerWithCode(pending, DynamicUpdate.SERVFAIL);
            }
        }
        failBeforeCall(pending);
        forgetIfNotStarted(pending);
    }

    /** Removes a message that was not started, which excludes it as the original of later duplicates. */
    private void forgetIfNotStarted(PendingMessage pending) {
        if (!pending.isStarted()) {
            updates.forget(pending);
            pending.releaseRequest();
        }
    }

    @Override
    public void shareOutcome(PendingMessage duplicate) {
        PendingMessage original = updates.originalOf(duplicate);
        if (original == null) {
            failDuplicate(duplicate);
            needsDecision = true;
        } else if (original.code().isEmpty()) {
            original.addDuplicate(duplicate);
        } else {
            complete(duplicate, original.code().getAsInt());
        }
    }

    @Override
    public void evict(PendingMessage pending) {
        updates.forget(pending);
    }

    @Override
    public void retain(PendingMessage pending, Duration retention) {
        updates.remember(pending);
    }

    @Override
    public void release(PendingMessage pending) {
        updates.forget(pending);
    }

    @Override
    public void updateHealth(boolean healthy) {
        metrics.healthy(healthy);
    }

    @Override
    public void log(ControllerEvent event) {
        log.info(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        wakeUpScheduler.accept(at);
    }
}
