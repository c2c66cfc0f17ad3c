package merlinlever.fleet.quota;

/**
 * One incarnation of one backend, which holds leases. Ordered by its text: the order decides who gets the units that are left over
 * after an even division.
 *
 * @param backend the name of the backend
 * @param incarnation a number that no other incarnation of this backend has
 */
public record LeaseHolder(String backend, long incarnation) implements Comparable<LeaseHolder> {

    @Override
    public int compareTo(LeaseHolder other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return backend + "#" + incarnation;
    }
}
