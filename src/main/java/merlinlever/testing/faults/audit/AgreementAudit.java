package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that the processes of a test agree on which of them run: the test knows that, and each running process is asked
 * for the membership status of the others.
 */
public final class AgreementAudit {

    /**
     * The membership status of one process in the table of another.
     *
     * @param by who reported it
     * @param of whose it is
     * @param status alive, suspect, dead, left, or absent where that name is not known
     */
    public record ReportedStatus(String by, String of, String status) {}

    private AgreementAudit() {}

    /**
     * Checks, some time after the last fault, that every running process considers every other running one alive, and none
     * that has ended.
     *
     * @param running by the name of each process, whether it runs and is not paused
     * @param reported what the running processes reported
     * @return each violation in one line; empty where all agree
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
                .filter(each -> each.by().equals(reporter) && each.of().equals(subject))
                .map(ReportedStatus::status)
                .findFirst()
                .orElse("absent");
        boolean isAlive = status.equals("alive");
        if (isRunning && !isAlive) {
            return Optional.of(reporter + " holds " + subject + " " + status + ", which runs");
        }
        return !isRunning && isAlive
                ? Optional.of(reporter + " holds " + subject + " alive, which has ended")
                : Optional.empty();
    }
}
