package merlinlever.trials;

/** What an adapter needs of a trial: which arm an operation of this caller goes by, now. */
public interface Arms {

    /** An index into {@link Trial#arms}; the safe arm's where nothing is split. */
    int arm(String caller);
}
