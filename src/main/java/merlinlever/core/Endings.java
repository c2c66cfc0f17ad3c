package merlinlever.core;

import java.time.Duration;
import java.util.List;
import merlinlever.Ending;

/** How operations end for those who wait: one answer each, and how many are owed one still. */
final class Endings {

    private int owed;

    /** Operations that are read and not yet answered. */
    int owed() {
        return owed;
    }

    void owes() {
        owed++;
    }

    /** Its answer is given or owed no longer; returns who waited for it. */
    Caller over(Work work) {
        Caller caller = work.caller;
        work.answered = true;
        work.caller = null;
        owed--;
        return caller;
    }

    void answer(Work work, Ending how, byte[] result) {
        if (work.answered) {
            return;
        }
        Caller caller = over(work);
        if (how == Ending.OK) {
            caller.satisfied(result);
        } else {
            caller.brokenOff();
        }
    }

    void pushBack(Work work, boolean nowhereElse, Duration stayAway) {
        if (!work.answered) {
            over(work).pushedBack(nowhereElse, stayAway);
        }
    }

    /** Its run has ended, and it with it; then all that share its outcome. */
    void ended(Work work, Duration now, Ending how, byte[] result) {
        answer(work, how, result);
        work.handle.ended(now, how);
        for (Work sharer : work.sharers) {
            endAs(sharer, now, work);
        }
        work.sharers = List.of();
    }

    /** It ends as the one whose outcome it shares; where there is none, it is broken off. Says whether that changed anything. */
    boolean endAs(Work sharer, Duration now, Work original) {
        if (sharer.end != null) {
            return false;
        }
        byte[] result = original != null && original.end == Ending.OK ? original.result : null;
        sharer.end = result != null ? Ending.OK : Ending.ERROR;
        sharer.body = null;
        answer(sharer, sharer.end, result);
        sharer.handle.ended(now, sharer.end);
        return true;
    }
}
