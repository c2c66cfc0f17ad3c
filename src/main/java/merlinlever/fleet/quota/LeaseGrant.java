package merlinlever.fleet.quota;

/**
 * A leader's grant of a lease.
 *
 * @param number identifies the grant; the holder's next request refers to this number
 * @param amount amount that the holder may use
 */
public record LeaseGrant(long number, long amount) {}
