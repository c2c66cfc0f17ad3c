package merlinlever.dns.journal;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides what a journal holds after whatever has happened to it. What is not whole at the end was being written when the
 * process or the machine stopped, so nobody was answered, and it is dropped. What is not whole but was forced, as a later
 * entry says, was spoilt since: it held answered updates, and nothing is served from such a file.
 */
final class JournalRecovery {

    /** The entries of one journal, and how many octets of it are good. */
    record RecoveredEntries(List<JournalFormat.JournalEntry> entries, int durableLength) {}

    private JournalRecovery() {}

    /** @throws CorruptJournalException with one line that says where */
    static RecoveredEntries read(String name, byte[] file) throws CorruptJournalException {
        List<JournalFormat.JournalEntry> steps = new ArrayList<>();
        int at = JournalFormat.HEADER;
        while (at < file.length) {
            JournalFormat.JournalEntry step = JournalFormat.step(file, at);
            boolean follows = step != null
                    && (steps.isEmpty()
                            || step.sequence() == steps.get(steps.size() - 1).sequence() + 1);
            if (!follows) {
                if (forcedBehind(file, at)) {
                    throw new CorruptJournalException(
                            name + ": spoilt at octet " + at + ", behind which there are updates that were answered; "
                                    + "bring the file back from a copy, or move the zone's files away to start from the zone file");
                }
                break;
            }
            steps.add(step);
            at += JournalFormat.FRONT + JournalFormat.lengthAt(file, at);
        }
        return new RecoveredEntries(steps, Math.min(at, file.length));
    }

    /** Whether some whole entry further on was written after the octets at the place had been forced. */
    private static boolean forcedBehind(byte[] file, int bad) {
        for (int at = bad + 1; at + JournalFormat.FRONT <= file.length; at++) {
            if (file[at] == (byte) (JournalFormat.ENTRY >> 24) && JournalFormat.lengthAt(file, at) >= 0) {
                JournalFormat.JournalEntry step = JournalFormat.step(file, at);
                if (step != null && step.durableLength() > bad) {
                    return true;
                }
            }
        }
        return false;
    }

    /** State that cannot be served from; the message is for the operator. */
    static final class CorruptJournalException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptJournalException(String message) {
            super(message);
        }
    }
}
