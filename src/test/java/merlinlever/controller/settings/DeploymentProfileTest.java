package merlinlever.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the validation of the settings of a deployment profile. */
class DeploymentProfileTest {

    /** Returns the problems of the settings, to which the required priority class is added. */
    private static List<String> problems(Map<String, String> given) {
        Map<String, String> complete = new HashMap<>(given);
        complete.put("services.0.name", "look");
        return new SettingsValidator(RawSettings.of(complete)).problems();
    }

    @Test
    void invalidValueIsReported() {
        List<String> problems = problems(Map.of("family-info.halt", "pasue", "family-info.say", "weight"));
        assertEquals(List.of("settings: family-info.halt is \"pasue\"; allowed: drop, none, pause"), problems);
        assertEquals(1, problems(Map.of("watch.readiness", "yes")).size());
        assertTrue(problems(Map.of()).isEmpty(), "missing settings have defaults");
    }
}
