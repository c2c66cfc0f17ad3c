package merlinlever.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The check of the settings that describe a deployment. */
class DeploymentProfileTest {

    @Test
    void valueThatIsNotAllowedIsReported() {
        List<String> problems = DeploymentProfile.problems(Map.of("server.halt", "pasue", "server.say", "weight"));
        assertEquals(List.of("settings: server.halt is \"pasue\"; allowed: drop, none, pause"), problems);
        assertEquals(
                1, DeploymentProfile.problems(Map.of("watch.readiness", "yes")).size());
        assertTrue(DeploymentProfile.problems(Map.of()).isEmpty(), "missing settings have defaults");
    }
}
