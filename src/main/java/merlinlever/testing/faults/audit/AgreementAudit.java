package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Whether what the processes say of each other is what is so, judged from outside: the harness knows which processes run,
 * and each running one is asked what it believes of the others. Decisions alone.
 */
public final class AgreementAudit {

    /** What one process said of another: alive, suspect, dead, left, or absent where it knows none of that name. */
    public record ReportedStatus(String by, String of, String status) {}

    private AgreementAudit() {}

    /**
     * After the faults have ended and the processes had their time: every running one holds every other running one alive,
     * and none holds one alive that has ended.
     *
     * @param running each process by name, whether it runs (and is not paused)
     * @return each breach in one line, naming both; empty where all agree
     */
    public static List<String> breaches(Map<String, Boolean> running, List<ReportedStatus> said) {
        List<String> breaches = new ArrayList<>();
        for (Map.Entry<String, Boolean> by : running.entrySet()) {
            if (!by.getValue()) {
                continue;
            }
            for (Map.Entry<String, Boolean> of : running.entrySet()) {
                if (of.getKey().equals(by.getKey())) {
                    continue;
                }
                String status = said.stream()
                        .filter(one -> one.by().equals(by.getKey()) && one.of().equals(of.getKey()))
                        .map(ReportedStatus::status)
                        .findFirst()
                        .orElse("absent");
                if (of.getValue() && !status.equals("alive")) {
                    breaches.add(by.getKey() + " holds " + of.getKey() + " " + status + ", which runs");
                } else if (!of.getValue() && status.equals("alive")) {
                    breaches.add(by.getKey() + " holds " + of.getKey() + " alive, which has ended");
                }
            }
        }
        return breaches;
    }
}
