package merlinlever.experiments;

/** What an adapter needs of a trial: which arm an operation of this caller goes by, now. */
public interface ArmSelector {

    /** An index into {@link Experiment#arms}; the safe arm's where nothing is split. */
    int arm(String caller);
}
