package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionsTest {

    /** The builder would silently drop decisions of a kind that is missing in its list. */
    @Test
    void decisionsAreOrderedByTheDeclarationOfTheirKinds() throws ReflectiveOperationException {
        List<Class<?>> declared = List.of(Decision.class.getPermittedSubclasses());
        Decisions.Builder builder = new Decisions.Builder();
        for (int i = declared.size() - 1; i >= 0; i--) {
            builder.add(decisionOf(declared.get(i)));
        }
        List<? extends Class<?>> decided = builder.build(Duration.ZERO).inExecutionOrder().stream()
                .map(Decision::getClass)
                .toList();
        assertEquals(declared, decided);
    }

    private static Decision decisionOf(Class<?> kind) throws ReflectiveOperationException {
        Class<?>[] types = Arrays.stream(kind.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        Object[] values = Arrays.stream(types)
                .map(type -> type == double.class ? (Object) 0.5 : type == boolean.class ? (Object) true : null)
                .toArray();
        var constructor = kind.getDeclaredConstructor(types);
        constructor.setAccessible(true);
        return (Decision) constructor.newInstance(values);
    }
}
