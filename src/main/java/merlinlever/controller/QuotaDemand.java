package merlinlever.controller;

/**
 * How much of a quota a server uses.
 *
 * @param inUse in progress now
 * @param wanted how much would be used now if the quota were larger: in progress, or started within the last second
 *     for a quota per second, and waiting
 */
public record QuotaDemand(long inUse, long wanted) {

    /** Of a server that uses nothing. */
    public static final QuotaDemand NONE = new QuotaDemand(0, 0);
}
