package merlinlever.fleet.recovery;

import merlinlever.common.WireNamed;

/**
 * The progress of a process in resuming service after its start. The stage only advances, in the order of declaration.
 */
public enum RecoveryStage implements WireNamed {
    /** No peer is known to be alive yet. Only idempotent requests are admitted. */
    COLD("cold"),
    /** At least one peer is known to be alive; the process waits for the reports of its peers. */
    REJOINED("rejoined"),
    /**
     * Enough peers have reported. Non-idempotent requests are admitted when no duplicate of an earlier one can arrive.
     */
    RECONCILED("reconciled"),
    /** The service has warmed up and admits all requests. */
    WARM("warm");

    private final String wireName;

    RecoveryStage(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in datagrams, in JSON and in the log. */
    @Override
    public String wireName() {
        return wireName;
    }
}
