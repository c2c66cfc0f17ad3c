package merlinlever.faults;

import java.time.Duration;
import java.util.function.Function;
import merlinlever.view.Seen;
import merlinlever.view.Standing;
import merlinlever.view.View;

/** A sight of the fleet that stands as a model or a test says, and holds no view. */
public record Stands(Function<Duration, Standing> by) implements Seen {

    @Override
    public Standing standing(Duration now) {
        return by.apply(now);
    }

    @Override
    public Duration since() {
        return Duration.ZERO;
    }

    @Override
    public View view() {
        return View.NONE;
    }
}
