package merlinlever.fleet.experiments;

/** Selects the arm of an experiment for the adapters that apply the arm's settings. */
public interface ArmSelector {

    /** Returns the arm to which a request of the caller belongs now, as an index into {@link Experiment#arms}. */
    int arm(String caller);
}
