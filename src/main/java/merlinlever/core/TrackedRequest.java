package merlinlever.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.Outcome;
import merlinlever.RequestHandle;

/** One operation of the real backend, from its reading until nothing names it any more. */
public final class TrackedRequest {

    final long id;
    final String name;
    final int tariff;
    final String tariffName;
    final Duration arrival;
    /** What a repeat of it is known by, or null. */
    final String mark;

    RequestHandle handle = ControllerDriver.UNKNOWN;
    ResponseSink caller;
    /** What it repeats, as it was known at its arrival. */
    TrackedRequest repeats;

    byte[] body, callBody, reply, result;
    boolean answered, launched, halted, calling, launchInDoubt, replyInDoubt, released;
    Outcome end;
    Duration launchedAt = Duration.ZERO, calledAt = Duration.ZERO, repliedAt = Duration.ZERO;
    List<TrackedRequest> sharers = List.of();

    TrackedRequest(
            long id,
            String name,
            int tariff,
            String tariffName,
            Duration arrival,
            String mark,
            byte[] body,
            ResponseSink caller) {
        this.id = id;
        this.name = name;
        this.tariff = tariff;
        this.tariffName = tariffName;
        this.arrival = arrival;
        this.mark = mark;
        this.body = body;
        this.caller = caller;
    }

    /** Its id as it came. */
    public String name() {
        return name;
    }

    public long id() {
        return id;
    }

    /** What a repeat of it has in common with it; its id where nothing is. */
    public String key() {
        return mark != null ? mark : name;
    }

    public String tariffName() {
        return tariffName;
    }

    public byte[] body() {
        return body;
    }

    boolean sameAs(TrackedRequest other) {
        return tariff == other.tariff && Arrays.equals(body, other.body);
    }

    void sharedBy(TrackedRequest other) {
        if (sharers.isEmpty()) {
            sharers = new ArrayList<>(2);
        }
        // Whoever asks again and again while it runs leaves no more than one behind.
        sharers.removeIf(sharer -> sharer.answered);
        sharers.add(other);
    }
}
