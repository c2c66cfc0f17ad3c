package merlinlever.fleet.experiments;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.fleet.experiments.ExperimentConfigReader.InvalidExperimentException;
import org.junit.jupiter.api.Test;

class ExperimentConfigReaderTest {

    private static Map<String, String> validConfiguration() {
        return new HashMap<>(Map.ofEntries(
                Map.entry("name", "n1"),
                Map.entry("trials.0.name", "advice"),
                Map.entry("trials.0.safe", "now"),
                Map.entry("trials.0.difference", "0.02"),
                Map.entry("trials.0.lease", "5s"),
                Map.entry("trials.0.arms.0.name", "now"),
                Map.entry("trials.0.arms.1.name", "short"),
                Map.entry("trials.0.arms.1.weight", "3"),
                Map.entry("trials.0.arms.1.stay-away-longest", "300ms"),
                Map.entry("trials.0.arms.0.route", "near")));
    }

    private static List<Experiment> read(Map<String, String> configuration) throws InvalidExperimentException {
        return ExperimentConfigReader.read(configuration, "near"::equals);
    }

    @Test
    void readsValidConfigurationWhoseArmOnlyShortensRetryAfter() throws InvalidExperimentException {
        Experiment experiment = read(validConfiguration()).get(0);
        assertEquals(
                List.of("now", "short"),
                experiment.arms().stream().map(Experiment.Arm::name).toList());
        assertEquals(0, experiment.safeArm());
        assertEquals(Duration.ofSeconds(5), experiment.leaseDuration());
        assertEquals(Optional.of("near"), experiment.arms().get(0).preferredRoute());
        Experiment.Arm shorteningArm = experiment.arms().get(1);
        assertEquals(Duration.ofMillis(300), shorteningArm.retryAfter(Duration.ofSeconds(2)));
        assertEquals(
                Duration.ofMillis(100),
                shorteningArm.retryAfter(Duration.ofMillis(100)),
                "at most the Retry-After of the controller");
        assertEquals(Duration.ofSeconds(2), shorteningArm.callDuration(Duration.ofSeconds(2)));
        assertEquals(List.of(), read(Map.of("name", "n1")));
    }

    @Test
    void reportsEachInvalidSettingInOneLine() {
        String[][] invalid = {
            {"trials.0.arms.1.value", "3", "prioritization by value"},
            {"trials.0.arms.1.rules.drain-grace", "1", "safety invariants"},
            {"trials.0.arms.1.max-p", "0.2", "design parameter"},
            {"trials.0.arms.1.colour", "red", "not a known setting"},
            {"trials.0.arms.1.route", "far", "not a configured route"},
            {"trials.0.safe", "none", "must name the arm"},
            {"trials.0.arms.1.weight", "100", "sixteenth"},
            {"trials.0.alpha", "0.9", "from 0.000001 to 0.2"},
            {"trials.0.harm", "0.01", "must be at least alpha"},
            {"trials.0.lease", "soon", "must be a duration"},
            {"trials.0.arms.1.name", "now", "another arm"},
            {"trials.0.colour", "red", "is not a known setting"},
            {"trials.0.name", "A B", "a-z"},
            {"trials.0.version", "1.5", "whole number"},
            {"trials.9.name", "late", "at most 4"},
            {"trials.1.name", "advice", "arms"},
            {"trials.0.arms.1.stay-away-longest", "2h", "from 0ms to 60s"},
            {"trials.0.deaths", "0", "from 1"}
        };
        for (String[] setting : invalid) {
            Map<String, String> configuration = validConfiguration();
            configuration.put(setting[0], setting[1]);
            String message = assertThrows(InvalidExperimentException.class, () -> read(configuration), setting[0])
                    .getMessage();
            assertTrue(message.contains(setting[2]) && !message.contains("\n"), setting[0] + ": " + message);
        }
    }

    @Test
    void anyChangeOfAnExperimentChangesItsKey() throws InvalidExperimentException {
        Experiment before = read(validConfiguration()).get(0);
        assertEquals(before.key(), read(validConfiguration()).get(0).key());
        for (String[] change : new String[][] {
            {"trials.0.version", "2"},
            {"trials.0.difference", "0.03"},
            {"trials.0.arms.1.stay-away-longest", "301ms"},
            {"trials.0.safe", "short"},
            {"trials.0.arms.0.weight", "2"}
        }) {
            Map<String, String> configuration = validConfiguration();
            configuration.put(change[0], change[1]);
            assertNotEquals(before.key(), read(configuration).get(0).key(), change[0]);
        }
    }
}
