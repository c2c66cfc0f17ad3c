package merlinlever.fleet.quota;

/**
 * A backend's request to the leader for a lease of a quota.
 *
 * @param holder name of the backend
 * @param incarnation number that is unique among the incarnations of the backend
 * @param currentGrant number of the grant of the current lease; 0 if the recipient did not grant the lease
 * @param held amount that the backend holds now
 * @param inUse calls in flight now, for a quota of concurrent calls
 * @param wanted amount that the backend would use without the quota
 */
public record LeaseRequest(String holder, long incarnation, long currentGrant, long held, long inUse, long wanted) {}
