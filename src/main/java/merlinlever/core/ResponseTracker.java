package merlinlever.core;

import java.time.Duration;
import java.util.List;
import merlinlever.Outcome;

/** How operations end for those who wait: one answer each, and how many are owed one still. */
final class ResponseTracker {

    private int owed;

    /** Operations that are read and not yet answered. */
    int owed() {
        return owed;
    }

    void owes() {
        owed++;
    }

    /** Its answer is given or owed no longer; returns who waited for it. */
    ResponseSink over(TrackedRequest work) {
        ResponseSink caller = work.caller;
        work.answered = true;
        work.caller = null;
        owed--;
        return caller;
    }

    void answer(TrackedRequest work, Outcome how, byte[] result) {
        if (work.answered) {
            return;
        }
        ResponseSink caller = over(work);
        if (how == Outcome.OK) {
            caller.satisfied(result);
        } else {
            caller.brokenOff();
        }
    }

    void pushBack(TrackedRequest work, boolean nowhereElse, Duration stayAway) {
        if (!work.answered) {
            over(work).pushedBack(nowhereElse, stayAway);
        }
    }

    /** Its run has ended, and it with it; then all that share its outcome. */
    void ended(TrackedRequest work, Duration now, Outcome how, byte[] result) {
        answer(work, how, result);
        work.handle.runEnded(now, how);
        for (TrackedRequest sharer : work.sharers) {
            endAs(sharer, now, work);
        }
        work.sharers = List.of();
    }

    /** It ends as the one whose outcome it shares; where there is none, it is broken off. Says whether that changed anything. */
    boolean endAs(TrackedRequest sharer, Duration now, TrackedRequest original) {
        if (sharer.end != null) {
            return false;
        }
        byte[] result = original != null && original.end == Outcome.OK ? original.result : null;
        sharer.end = result != null ? Outcome.OK : Outcome.ERROR;
        sharer.body = null;
        answer(sharer, sharer.end, result);
        sharer.handle.runEnded(now, sharer.end);
        return true;
    }
}
