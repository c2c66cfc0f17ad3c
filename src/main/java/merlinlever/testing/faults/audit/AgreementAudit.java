package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that the membership tables of the running processes of a test agree with the actual states of all processes.
 */
public final class AgreementAudit {

    /**
     * The membership status of one process in the table of another.
     *
     * @param by name of the process that reports the status
     * @param of name of the process that has the status
     * @param status alive, suspect, dead, left, or absent if the table has no entry
     */
    public record ReportedStatus(String by, String of, String status) {}

    private AgreementAudit() {}

    /**
     * Checks, some time after the last fault, that every running process considers exactly the other running processes
     * alive.
     *
     * @param running whether each process runs and is not paused, by its name
     * @param reported the statuses that the running processes reported
     * @return one line for each violation
     */
    public static List<String> findViolations(Map<String, Boolean> running, List<ReportedStatus> reported) {
        List<String> violations = new ArrayList<>();
        for (Map.Entry<String, Boolean> reporter : running.entrySet()) {
            for (Map.Entry<String, Boolean> subject : running.entrySet()) {
                if (reporter.getValue() && !subject.getKey().equals(reporter.getKey())) {
                    check(reporter.getKey(), subject.getKey(), subject.getValue(), reported)
                            .ifPresent(violations::add);
                }
            }
        }
        return violations;
    }

    private static Optional<String> check(
            String reporter, String subject, boolean isRunning, List<ReportedStatus> reported) {
        String status = reported.stream()
                .filter(entry -> entry.by().equals(reporter) && entry.of().equals(subject))
                .map(ReportedStatus::status)
                .findFirst()
                .orElse("absent");
        boolean isAlive = status.equals("alive");
        if (isRunning && !isAlive) {
            return Optional.of(reporter + " reports " + subject + " as " + status + ", but the process runs");
        }
        return !isRunning && isAlive
                ? Optional.of(reporter + " reports " + subject + " as alive, but the process has ended")
                : Optional.empty();
    }
}
