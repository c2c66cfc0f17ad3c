package merlinlever.view;

import java.time.Duration;

/** What this backend knows of the fleet as a whole, for those who depend on it. */
public interface Seen {

    Standing standing(Duration now);

    /** When the present standing began. */
    Duration since();

    /** The one adopted last; {@link View#NONE} before the first. */
    View view();

    /** The answer of the one table. */
    default Permits.May may(Duration now, Act act) {
        return Permits.may(act, standing(now));
    }
}
