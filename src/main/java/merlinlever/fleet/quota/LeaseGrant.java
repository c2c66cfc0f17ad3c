package merlinlever.fleet.quota;

/**
 * What the leader granted.
 *
 * @param number identifies the grant; the holder names it in its next request
 * @param amount the amount that may be spent
 */
public record LeaseGrant(long number, long amount) {}
