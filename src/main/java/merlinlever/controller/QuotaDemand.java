package merlinlever.controller;

/**
 * A server's use of its quota.
 *
 * @param inUse the number of runs or calls in progress
 * @param wanted the number of runs or calls that a large enough quota would permit: those waiting, plus those in
 *     progress or, for a quota per second, those started within the last second
 */
public record QuotaDemand(long inUse, long wanted) {

    /** Demand of a server that neither uses nor needs its quota. */
    public static final QuotaDemand NONE = new QuotaDemand(0, 0);
}
