package merlinlever;

/** How a run or a call ended. */
public enum Outcome {
    /** It worked. */
    OK(false),
    /** It was carried out and did not work; it may have had its effect. */
    ERROR(false),
    /** The call was turned away unseen. */
    TURNED_AWAY(true),
    /** The call was given up; it may have had its effect. */
    GIVEN_UP(false),
    /** The call did not get through. */
    UNREACHABLE(true),
    /** The call was cut off; it may have had its effect. */
    CUT_OFF(false),
    /** The run was stopped. */
    STOPPED(false),
    /** Nothing was begun, the operation was over already. */
    NEVER_BEGUN(true);

    private final boolean provesUnrun;

    Outcome(boolean provesUnrun) {
        this.provesUnrun = provesUnrun;
    }

    /** Whether this ending proves that nothing has taken effect. */
    public boolean provesUnrun() {
        return provesUnrun;
    }
}
