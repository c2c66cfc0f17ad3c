package merlinlever.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import merlinlever.controller.Decision;
import org.junit.jupiter.api.Test;

/** Every kind of decision has its method in the handler, so that none is lost on the way to it. */
class DecisionDispatchTest {

    @Test
    void everyKindOfDecisionHasAMethodOfTheHandler() {
        Set<String> methods = Arrays.stream(DecisionHandler.class.getMethods())
                .map(Method::getName)
                .collect(Collectors.toSet());
        Set<String> expected = new TreeSet<>(Set.of("scheduleWakeUp"));
        for (Class<?> kind : Decision.class.getPermittedSubclasses()) {
            expected.add(methodFor(kind));
        }
        assertEquals(expected, new TreeSet<>(methods));
    }

    private static String methodFor(Class<?> kind) {
        if (kind == Decision.SendBackpressure.class) {
            return "updateBackpressureLevel";
        }
        if (kind == Decision.ReportHealth.class) {
            return "updateHealth";
        }
        String name = kind.getSimpleName();
        return Character.toLowerCase(name.charAt(0)) + name.substring(1);
    }
}
