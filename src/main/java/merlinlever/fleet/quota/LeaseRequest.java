package merlinlever.fleet.quota;

/**
 * A backend's request to the leader for a lease of a quota.
 *
 * @param holder the name of the backend
 * @param incarnation a number of this incarnation of it, which no other incarnation has
 * @param currentGrant the number of the grant that it holds by; 0 if it has none of the leader asked
 * @param held the amount that it holds now
 * @param inUse calls in flight now, for a quota of concurrent calls
 * @param wanted the amount that it would use
 */
public record LeaseRequest(String holder, long incarnation, long currentGrant, long held, long inUse, long wanted) {}
