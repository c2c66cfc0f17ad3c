package merlinlever.fleet.experiments;

/** What an adapter needs to know of an experiment. */
public interface ArmSelector {

    /** The arm that a request of this caller belongs to now, as an index into {@link Experiment#arms}. */
    int arm(String caller);
}
