package merlinlever.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Health, as the module has it, and the deep checks: one exercise at a time serves all that ask meanwhile. */
final class HealthChecks {

    private final Runnable exercise;
    private final List<Consumer<Boolean>> askers = new ArrayList<>();
    private boolean healthy, exercising;

    HealthChecks(Runnable exercise) {
        this.exercise = exercise;
    }

    boolean healthy() {
        return healthy;
    }

    void health(boolean good) {
        healthy = good;
    }

    void checkDeeply(Consumer<Boolean> asker) {
        if (!healthy) {
            asker.accept(false);
            return;
        }
        askers.add(asker);
        if (!exercising) {
            exercising = true;
            exercise.run();
        }
    }

    void exercised(boolean good) {
        exercising = false;
        List<Consumer<Boolean>> all = List.copyOf(askers);
        askers.clear();
        all.forEach(asker -> asker.accept(good && healthy));
    }
}
