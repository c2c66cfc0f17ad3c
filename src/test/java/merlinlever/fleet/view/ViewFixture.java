package merlinlever.fleet.view;

import java.time.Duration;
import java.util.TreeSet;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;

/** Shared values of the tests of this package. */
final class ViewFixture {

    static final Duration REPORT_VALIDITY = ms(4000);

    private ViewFixture() {}

    static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    /** Returns the names b0, b1 and so on. */
    static TreeSet<String> names(int count) {
        TreeSet<String> names = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            names.add("b" + i);
        }
        return names;
    }

    static MemberRecord alive(String name) {
        return new MemberRecord(name, "g", "-", MemberStatus.ALIVE, 0);
    }
}
