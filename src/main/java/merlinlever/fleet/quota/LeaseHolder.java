package merlinlever.fleet.quota;

/**
 * An incarnation of a backend that holds leases. Holders are ordered by their string representation; the order
 * determines which holders receive the remainder of an even division.
 *
 * @param backend name of the backend
 * @param incarnation number that is unique among the incarnations of the backend
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
