package merlinlever.view;

/** What users of the view ask leave for. */
public enum GuardedAction {
    /** Settle something once for all: write a register, end a trial, number a new view. Besides, only whoever leads may. */
    DECIDE,
    /** Give shares of budgets to others. Besides, only whoever leads may. */
    GRANT_QUOTA,
    /** Take on what widens what may be done: a new route, a looser restriction, a new trial. */
    ADOPT_WIDENING,
    /** Take on what narrows it: a withdrawal, a tighter restriction, the end of a trial. */
    ADOPT_RESTRICTION,
    /** Go on with what was adopted: send a call along a route, split a trial. */
    USE_ADOPTED,
    /** Begin binding and fingerprinted work. */
    START_KEYED_REQUEST
}
